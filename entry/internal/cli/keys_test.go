package cli

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
)

// Guards against an entry that refuses a key which the store has because the change has not arrived, against one that
// reads the store for each unknown key, and against one that serves keys without a configuration that names them.
func TestEntryReadsNewerKeys(t *testing.T) {
	n := startInstance(t, 2*time.Second)
	ask := func(key string, want int) {
		t.Helper()
		if key != "" {
			n.header = platformtest.SenderHeaders(platformtest.Sender{Credentials: platformtest.KeyCredentials(key)})
		}
		if a := n.send("r", "/safe/fast", 3*time.Second); a.err != nil || a.status != want {
			t.Errorf("with the key %q the answer is %+v, want %d", key, a, want)
		}
	}
	put := func(keys ...string) {
		n.store.Put(platform.KindConfig, "main", platformtest.EncodeConfigWithKeys(n.config, keys...))
	}
	ask("", http.StatusOK)
	put("first")
	for deadline := time.Now().Add(5 * time.Second); n.send("r", "/safe/fast", time.Second).status != http.StatusUnauthorized; {
		if time.Now().After(deadline) {
			t.Fatal("the change does not arrive")
		}
		time.Sleep(10 * time.Millisecond)
	}
	ask("first", http.StatusOK)
	n.store.SetFault(objects.Fault{SilentWatches: true})
	put("first", "watched") // ends a watch in progress; the next one is silent
	ask("watched", http.StatusOK)
	time.Sleep(500 * time.Millisecond)
	put("first", "second")
	ask("second", http.StatusOK)
	before := n.store.Calls(http.MethodGet, platform.KindConfig)
	for i := range 50 {
		ask(fmt.Sprint("random", i), http.StatusUnauthorized)
	}
	// The watch may have been renewed a few times meanwhile.
	if calls := n.store.Calls(http.MethodGet, platform.KindConfig) - before; calls > 10 {
		t.Errorf("50 unknown keys caused %d calls", calls)
	}
	n.store.SetFault(objects.Fault{NoResponse: true})
	ask("third", http.StatusUnauthorized)
	ask("first", http.StatusOK)
}
