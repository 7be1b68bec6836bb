package workspace

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func directory(t *testing.T, l ...Entry) *Directory {
	t.Helper()
	d, err := NewDirectory(l)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func entry(name string, keys ...string) Entry {
	return Entry{Workspace: Workspace{Name: name}, Keys: keys}
}

// Guards against a key that opens another workspace than its own, and against a part of a key that opens any.
func TestLookup(t *testing.T) {
	a := Entry{Workspace: Workspace{Name: "a", Priority: 3, HasPriority: true}, Keys: []string{"key-a1", "key-a2", "key-a1"}}
	d := directory(t, a, entry("b", "key-b"), entry("c"))
	for key, want := range map[string]Workspace{
		"key-a1": a.Workspace, "key-a2": a.Workspace, "key-b": {Name: "b"},
		"": {}, "key-": {}, "key-a1 ": {}, "KEY-A1": {}, "c": {},
	} {
		if w, ok := d.Lookup(key); w != want || ok == want.None() {
			t.Errorf("key %q belongs to %+v (%t), want %+v", key, w, ok, want)
		}
	}
	if !d.HasPriority() || directory(t, entry("a")).HasPriority() {
		t.Error("priorities are reported although there are none, or the other way round")
	}
	if w := d.Current(Workspace{Name: "a"}); w != a.Workspace {
		t.Errorf("the workspace is %+v now, want %+v", w, a.Workspace)
	}
	if w := d.Current(Workspace{Name: "gone", Priority: 7, HasPriority: true}); w.Priority != 7 {
		t.Errorf("a workspace that has left is %+v", w)
	}
}

// Guards against keys in any printed form of a directory, and against lists that give one key or name two meanings.
func TestInvalid(t *testing.T) {
	const secret = "s3cr3t-key"
	for _, c := range []struct {
		list      []Entry
		workspace string
		field     string
	}{
		{[]Entry{entry("a", secret), entry("b", secret)}, "b", FieldKeys},
		{[]Entry{entry("a", secret, "")}, "a", FieldKeys},
		{[]Entry{entry("a"), entry("a", secret)}, "a", FieldName},
		{[]Entry{entry("", secret)}, "0 of the list", FieldName},
		{[]Entry{entry("a\r\nX: y", secret)}, "0 of the list", FieldName},
		{[]Entry{entry("a", secret), entry("a ")}, "1 of the list", FieldName},
		{[]Entry{{Workspace: Workspace{Name: "a", Priority: -1, HasPriority: true}, Keys: []string{secret}}}, "a", FieldPriority},
	} {
		_, err := NewDirectory(c.list)
		var invalid *InvalidError
		if !errors.As(err, &invalid) || invalid.Workspace() != c.workspace || invalid.Field() != c.field {
			t.Errorf("error is %v, want one of field %s of %s", err, c.field, c.workspace)
			continue
		}
		if strings.Contains(err.Error(), secret) {
			t.Errorf("the error contains a key: %v", err)
		}
	}
	if text := fmt.Sprintf("%+v", directory(t, entry("a", secret))); strings.Contains(text, secret) {
		t.Error("the directory contains a key")
	}
}

// Guards against a key that reaches a server within a longer header.
func TestContainsKey(t *testing.T) {
	d := directory(t, entry("a", "key=="))
	for text, want := range map[string]bool{
		"key==": true, "Bearer key==": true, "x, key==;y": true, "token=key==": true, "auth:key==": true, `"key=="`: true, "<key==>": true,
		"a=b=key==": true, "x:y:key==": true, "/v1/key==": true, "/v1/key==/x": true, "a:key==:b": true, "key==:b": true, "https://h/p?k=key==": true,
		"": false, "key": false, "monkey==": false, "a=key==x": false, "=": false,
	} {
		if got := d.ContainsKey(text); got != want {
			t.Errorf("%q contains a key: %t, want %t", text, got, want)
		}
	}
	if (*Directory)(nil).ContainsKey("key") {
		t.Error("a deployment without workspaces has a key")
	}
}
