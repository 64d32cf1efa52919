package entry

import (
	"bytes"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requiredHeaders are the headers without which a request would have another meaning; they are
// kept even if the Connection header lists them.
var requiredHeaders = []string{"Host", "Content-Length"}

func isRequiredHeader(name string) bool {
	return slices.ContainsFunc(requiredHeaders, func(n string) bool { return strings.EqualFold(n, name) })
}

// headerSet is implemented by the headers of requests and of responses.
type headerSet interface {
	Peek(key string) []byte
	Del(key string)
}

// removeHopByHop removes the headers that must not be forwarded, and those that
// the Connection header lists.
func removeHopByHop(h headerSet) {
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !isRequiredHeader(name) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// fillRequest copies a caller's request into an attempt's own request. The caller's key is removed,
// and the workspace header is set to the workspace that the key belongs to, whatever the caller
// sent in it.
func (e *Entry) fillRequest(out *fasthttp.Request, c *call, w units.WorkspaceName) {
	copyRequest(out, c.request, c.body)
	out.Header.Del(e.Settings.Entry.KeyHeader)
	out.Header.Del(e.Settings.Entry.WorkspaceHeader)
	if w != "" {
		out.Header.Set(e.Settings.Entry.WorkspaceHeader, string(w))
	}
	if name := e.Settings.Entry.BoxHeader; name != "" {
		out.Header.Set(name, e.Settings.Box)
	}
}

// copyRequest copies a request without the headers that apply to its connection only.
func copyRequest(out, from *fasthttp.Request, b *requestBody) {
	from.Header.CopyTo(&out.Header)
	removeHopByHop(&out.Header)
	out.Header.Del("Expect")
	// The body isn't copied: it has memory of its own, which is not reused.
	if !b.isStreamed() {
		out.SetBodyRaw(from.Body())
	}
	out.Header.SetNoDefaultContentType(true)
}

// credentialOf returns the API key in a request's header.
func (e *Entry) credentialOf(ctx *fasthttp.RequestCtx) apikey.Credential {
	return apikey.CredentialFromHeader(ctx.Request.Header.PeekAll(e.Settings.Entry.KeyHeader))
}

// findUnsafeFraming returns the reason why a request's length is ambiguous, or an empty text. Such a
// request could be read in one way here and in another at a target.
func findUnsafeFraming(h *fasthttp.RequestHeader) string {
	raw := h.RawHeaders()
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\r' {
			return "bare-line-feed"
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
		return "ambiguous-length"
	}
	return ""
}

func (e *Entry) refuseFraming(ctx *fasthttp.RequestCtx, reason string) {
	e.metrics.badRequests.Add(1)
	writeProblem(ctx, &problem{
		Type: "madderpond:" + reason, Title: reason, Status: fasthttp.StatusBadRequest,
		Outcome: routing.NotRun.String(), Remedy: "send one length only, and end every line with CR LF",
	})
	ctx.SetConnectionClose()
}
