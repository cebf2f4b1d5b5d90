package operator_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/logging"
	"hyssopjunction/operator"
)

// TestTokensReload guards against tokens that stay valid after their removal, against a malformed file that
// locks operators out or grants them more than the last valid one, and against tokens in the log.
func TestTokensReload(t *testing.T) {
	var log bytes.Buffer
	logging.New(&log, slog.LevelDebug)
	t.Cleanup(klog.ClearLogger)
	const first, second = "first-token-of-32-bytes-length-x", "second-token-of-32-bytes-length-"
	fake, file := clock.NewFake(1000), filepath.Join(t.TempDir(), "tokens")
	writeTokens := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		fake.Advance(clock.Second)
	}
	writeTokens("# operators\n\nada " + first + "\n")
	tokens, err := operator.NewTokens(file, fake)
	if err != nil {
		t.Fatal(err)
	}
	settings := operator.Defaults()
	settings.Tokens = tokens
	server, err := operator.New(settings, &control{}, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	expect := func(name, token string, read, change int) {
		t.Helper()
		if response, _ := send(t, server, http.MethodGet, "/status", token, "", ""); response.Code != read {
			t.Errorf("%s: reading with %q has status %d, not %d", name, token, response.Code, read)
		}
		if response, _ := send(t, server, http.MethodPut, "/preset", token, "k", `{"Preset":"Peak"}`); response.Code != change {
			t.Errorf("%s: changing with %q has status %d, not %d", name, token, response.Code, change)
		}
	}
	expect("first", first, 200, 200)
	expect("first", operator.LoopbackToken, 401, 401)
	writeTokens("ada " + second + "\nben " + first + " ReadOnly\n")
	expect("replaced", second, 200, 200)
	expect("now read-only", first, 200, 403)
	for name, text := range map[string]string{
		"empty": "", "no token": "ada\n", "short token": "ada short\n", "misspelt": "ben " + first + " Readonly\n",
		"loopback token": "ada " + operator.LoopbackToken + "\n", "token as name": first + "\n",
	} {
		writeTokens(text)
		expect(name, first, 200, 403)
		if _, err := operator.NewTokens(file, fake); !operator.IsErrBadTokens(err) || strings.Contains(err.Error(), first) {
			t.Errorf("%s: start with %v", name, err)
		}
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	fake.Advance(clock.Second)
	expect("removed", second, 200, 200)
	writeTokens("ada " + first + "\n")
	expect("good again", first, 200, 200)
	expect("good again", second, 401, 401)
	for _, token := range []string{first, second, "short"} {
		if strings.Contains(log.String(), token) {
			t.Errorf("the log holds the token %q", token)
		}
	}
	if strings.Count(log.String(), "Tokens reloaded") != 2 {
		t.Errorf("reloads are not logged: %s", log.String())
	}
}
