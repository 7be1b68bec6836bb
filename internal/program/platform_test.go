package program_test

import (
	"errors"
	"strings"
	"testing"

	"bulrushspoke/internal/node"
	"bulrushspoke/internal/program"
)

// Guards against processes whose links anybody may join because the deployment set no secret or a short one.
func TestSecret(t *testing.T) {
	for _, bad := range []string{"", strings.Repeat("x", 15)} {
		t.Setenv(program.SecretEnv, bad)
		var invalid *node.Error
		if _, err := program.Secret(); !errors.As(err, &invalid) || invalid.Field() != program.SecretEnv {
			t.Errorf("a secret of %d bytes was taken: %v", len(bad), err)
		}
	}
	t.Setenv(program.SecretEnv, strings.Repeat("x", 16))
	if s, err := program.Secret(); err != nil || len(s) != 16 {
		t.Errorf("secret: %q, %v", s, err)
	}
}
