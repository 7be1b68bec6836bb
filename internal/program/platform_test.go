package program_test

import (
	"errors"
	"strings"
	"testing"

	"bulrushspoke/internal/node"
	"bulrushspoke/internal/program"
)

// Guards against processes that accept links from anybody because the deployment sets no secret or a short one.
func TestSecret(t *testing.T) {
	for _, bad := range []string{"", strings.Repeat("x", 15)} {
		t.Setenv(program.SecretEnv, bad)
		var invalid *node.Error
		if _, err := program.Secret(); !errors.As(err, &invalid) || invalid.Field() != program.SecretEnv {
			t.Errorf("secret of %d bytes: got %v, want a *node.Error", len(bad), err)
		}
	}
	t.Setenv(program.SecretEnv, strings.Repeat("x", 16))
	if s, err := program.Secret(); err != nil || len(s) != 16 {
		t.Errorf("secret of 16 bytes: got %q, %v", s, err)
	}
}
