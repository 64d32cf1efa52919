package entry

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// rawRequest draws a valid request: any path, headers and body that a box must pass on as they are.
func rawRequest(t *rapid.T) string {
	method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "PATCH", "DELETE", "PURGE", "get"}).Draw(t, "method")
	path := rapid.StringMatching(`/cards/([A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9a-fA-F]{2}){0,40}(\?([A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9a-fA-F]{2}){0,40})?`).Draw(t, "path")
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", method, path)
	for range rapid.IntRange(0, 6).Draw(t, "headers") {
		name := rapid.StringMatching(`X-[A-Z][a-z0-9]{0,12}`).Draw(t, "name")
		value := rapid.StringMatching(`[!-~]([ -~]{0,60}[!-~])?`).Draw(t, "value")
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if kind := rapid.SampledFrom([]string{"", "text/plain", "application/json", "multipart/form-data; boundary=B", "application/x-www-form-urlencoded"}).Draw(t, "type"); kind != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", kind)
	}
	body := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "body")
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// Random requests reach targets unchanged, whatever the HTTP library makes of their paths and bodies.
func TestRandomRequestsReachTargetsAsTheyWereSent(t *testing.T) {
	got := make(chan string, 1)
	e := startRawBox(t, startRawTarget(t, "cards", got), startRawTarget(t, "redeem", got))
	rapid.Check(t, func(rt *rapid.T) {
		sent := rawRequest(rt)
		firstLine, _, _ := strings.Cut(sent, "\r\n")
		service := "cards"
		if _, path, _ := strings.Cut(firstLine, " "); strings.HasPrefix(path, "/cards/redeem/") {
			service = "redeem"
		}
		status := sendRaw(t, e.Address(), sent)
		want := fmt.Sprintf("%s: %s\nthe body as it was sent\n", service, firstLine)
		select {
		case request := <-got:
			if described := describeRaw(sent, request); described != want {
				rt.Fatalf("the request\n%q\nreached its target as\n%s", sent, described)
			}
		default:
			rt.Fatalf("the request\n%q\nwas answered with status %d and not sent", sent, status)
		}
	})
}
