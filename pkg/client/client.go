// Package client is the client of the administration API that the operators' tool uses.
package client

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/admin"
	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/reload"
	"github.com/madderpond/madderpond/pkg/replica"
	"github.com/madderpond/madderpond/pkg/response"
	"github.com/madderpond/madderpond/pkg/units"
)

// Client sends a request to one server after another until one is available.
type Client struct {
	servers []string
	token   string
	http    *fasthttp.Client
	// editTimeout is how long an edit without a known outcome is retried.
	editTimeout time.Duration
}

const (
	// requestTimeout bounds one request to a server. It is longer than a watch request waits for
	// the next change.
	requestTimeout = 40 * time.Second
	// maxResponseBytes bounds the body of a response, far above a dump of a large table.
	maxResponseBytes = 256 << 20
	// editRetryInterval is the delay before an edit is sent again.
	editRetryInterval = 200 * time.Millisecond
)

// NewClient returns a client of servers, each given as an IP address and a port. The token file's
// name may be empty. SubmitEdit retries for at most editTimeout. The error is a Settings fault.
func NewClient(servers []string, tokenFile string, editTimeout time.Duration) (*Client, error) {
	if len(servers) == 0 {
		return nil, fault.New(fault.Settings, "name one with --server, or in MADDERPOND_SERVERS", "no server is configured")
	}
	c := &Client{servers: servers, editTimeout: editTimeout, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout, MaxResponseBodySize: maxResponseBytes, Transport: response.Transport{},
	}}
	if tokenFile != "" {
		data, err := os.ReadFile(tokenFile)
		if err != nil {
			return nil, fault.Wrap(err, fault.Settings, "name a readable file", "the token file can't be read")
		}
		c.token = strings.TrimSpace(string(data))
	}
	return c, nil
}

// send sends one request to one server and decodes the response.
func (c *Client) send(server, method, path string, body, into any) error {
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	if err := c.exchange(server, method, path, body, answer); err != nil {
		return err
	}
	return decodeResponse(answer, into)
}

// exchange sends one request to one server and reads the response.
func (c *Client) exchange(server, method, path string, body any, answer *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + server + path)
	if c.token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "report this as a fault of madderctl", "the request can't be encoded")
		}
		request.SetBody(data)
	}
	if err := c.http.DoTimeout(request, answer, requestTimeout); err != nil {
		return fault.Wrap(err, fault.Unavailable, "check that the server is running, or name another one with --server", "%s doesn't answer", server)
	}
	return nil
}

// decodeResponse decodes a response into a value; an error of the server is returned as a fault.
func decodeResponse(answer *fasthttp.Response, into any) error {
	if strings.HasPrefix(string(answer.Header.ContentType()), "application/problem+json") {
		p := &admin.Problem{}
		if err := json.Unmarshal(answer.Body(), p); err != nil {
			return fault.Wrap(err, fault.Protocol, "use a madderctl of the server's version", "the server's error can't be decoded")
		}
		return fault.New(p.Title, p.Remedy, "%s", strings.TrimSuffix(p.Detail, "; "+p.Remedy))
	}
	if raw, ok := into.(*json.RawMessage); ok {
		if status := answer.StatusCode(); status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices {
			return fault.New(fault.Unknown, "check that --server names a server of madderpond", "the server answers with status %d", status)
		}
		*raw = append((*raw)[:0], answer.Body()...)
		return nil
	}
	if err := json.Unmarshal(answer.Body(), into); err != nil {
		return fault.Wrap(err, fault.Protocol, "use a madderctl of the server's version", "the server's response can't be decoded")
	}
	return nil
}

// sendToAny sends the request to the servers in turn, until one returns neither an Unavailable nor
// an Unknown fault.
func (c *Client) sendToAny(method, path string, body, into any) error {
	var err error
	for _, s := range c.servers {
		if err = c.send(s, method, path, body, into); !mayTryNext(err) {
			return err
		}
	}
	return err
}

// mayTryNext reports whether another server may do better than the one that returned an error.
func mayTryNext(err error) bool {
	kind := fault.KindOf(err)
	return err != nil && (kind == fault.Unavailable || kind == fault.Unknown)
}

// Watch waits until the table is newer than a revision, and returns it.
func (c *Client) Watch(after units.Revision) (*table.Table, error) {
	t := table.NewTable()
	return t, c.sendToAny("GET", fmt.Sprintf("/v1/watch?after=%d", after), nil, t)
}

// History returns the last accepted edits.
func (c *Client) History() ([]table.Result, error) {
	var results []table.Result
	return results, c.sendToAny("GET", "/v1/history", nil, &results)
}

// FormCluster forms the cluster and returns the status of the replica that did. The cluster starts
// with a recovered state, or with an empty table if there is none.
func (c *Client) FormCluster(state []byte) (*replica.Status, error) {
	s := &replica.Status{}
	return s, c.sendToAny("POST", "/v1/cluster/form", admin.FormRequest{State: state}, s)
}

// ServerStatus is the status of one server, or the error of the request for it.
type ServerStatus struct {
	Server string          `json:"server"`
	Status *replica.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Statuses requests the status of every server.
func (c *Client) Statuses() []ServerStatus {
	all := make([]ServerStatus, 0, len(c.servers))
	for _, server := range c.servers {
		x := ServerStatus{Server: server, Status: &replica.Status{}}
		if err := c.send(server, "GET", "/v1/status", nil, x.Status); err != nil {
			x.Status, x.Error = nil, err.Error()
		}
		all = append(all, x)
	}
	return all
}

// Document returns the newest document as it was submitted.
func (c *Client) Document() (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.sendToAny("GET", "/v1/document", nil, &raw)
}

// PutDocument puts a document in force. It may safely be repeated. When it returns no error, the
// document's version or a higher one is in force.
func (c *Client) PutDocument(document json.RawMessage) error {
	var response json.RawMessage
	return c.sendToAny("PUT", "/v1/document", document, &response)
}

// Targets returns the targets that registered themselves.
func (c *Client) Targets() ([]replica.TargetReport, error) {
	var targets []replica.TargetReport
	return targets, c.sendToAny("GET", "/v1/targets", nil, &targets)
}

// SubmitReport registers a target, or updates the state of a registered one.
func (c *Client) SubmitReport(r *table.Registration) error {
	var response json.RawMessage
	return c.sendToAny("PUT", "/v1/targets/"+string(r.Target), r, &response)
}

// SubmitDeparture removes a registered target for good.
func (c *Client) SubmitDeparture(id units.TargetID) error {
	var response json.RawMessage
	return c.sendToAny("DELETE", "/v1/targets/"+string(id), nil, &response)
}

// Workspaces returns the workspaces of the document in force.
func (c *Client) Workspaces() ([]table.WorkspaceView, error) {
	var list []table.WorkspaceView
	return list, c.sendToAny("GET", "/v1/workspaces", nil, &list)
}

// Evacuations returns the failure domains that are or were evacuated.
func (c *Client) Evacuations() ([]table.Evacuation, error) {
	var list []table.Evacuation
	return list, c.sendToAny("GET", "/v1/evacuations", nil, &list)
}

// SubmitEvacuation evacuates a failure domain or restores it. An order may safely be repeated.
func (c *Client) SubmitEvacuation(o table.EvacuationOrder) error {
	method := "DELETE"
	if o.Evacuate {
		method = "PUT"
	}
	var response json.RawMessage
	path := "/v1/evacuations/" + url.PathEscape(string(o.Domain)) + "?operator=" + url.QueryEscape(o.Operator)
	return c.sendToAny(method, path, nil, &response)
}

// Rollouts returns the last rollout of each service, as known to the control replica that answers.
func (c *Client) Rollouts() ([]control.RolloutStatus, error) {
	var list []control.RolloutStatus
	return list, c.sendToAny("GET", "/v1/rollouts", nil, &list)
}

// SubmitRollout starts a rollout or aborts the active one. An order may safely be repeated.
func (c *Client) SubmitRollout(o table.RolloutOrder) error {
	method := "PUT"
	if o.Abort {
		method = "DELETE"
	}
	var response json.RawMessage
	path := "/v1/rollouts/" + url.PathEscape(string(o.Service)) + "?operator=" + url.QueryEscape(o.Operator)
	return c.sendToAny(method, path, o, &response)
}

// Quarantines returns the quarantined calls, as known to the control replica that answers.
func (c *Client) Quarantines() ([]control.QuarantineStatus, error) {
	var list []control.QuarantineStatus
	return list, c.sendToAny("GET", "/v1/quarantines", nil, &list)
}

// SubmitRelease releases a call from quarantine, so that it is sent to targets again. An order may
// safely be repeated.
func (c *Client) SubmitRelease(name, operator string) error {
	var response json.RawMessage
	path := "/v1/quarantines/" + url.PathEscape(name) + "?operator=" + url.QueryEscape(operator)
	return c.sendToAny("DELETE", path, nil, &response)
}

// Dump returns a server's whole state as JSON.
func (c *Client) Dump() (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.sendToAny("GET", "/v1/dump", nil, &raw)
}

// Settings returns the state of a server's settings file.
func (c *Client) Settings() (*reload.Status, error) {
	status := &reload.Status{}
	return status, c.sendToAny("GET", "/v1/settings", nil, status)
}

// SubmitEdit submits an edit and returns its result. While the outcome is unknown, the edit is sent
// again with the same id, to one server after another, until the edit timeout. That is safe, since
// an edit takes effect at most once.
func (c *Client) SubmitEdit(edit *table.Edit) (*table.Result, error) {
	if edit.ID == "" {
		edit.ID = units.EditID(uuid.NewString())
	}
	deadline := time.Now().Add(c.editTimeout)
	for {
		result := &table.Result{}
		err := c.sendToAny("POST", "/v1/edits", edit, result)
		if !mayTryNext(err) {
			return result, err
		}
		if time.Now().After(deadline) {
			return nil, fault.Wrap(err, fault.Unknown,
				fmt.Sprintf("send it again with --id %s; it takes effect at most once", edit.ID), "the outcome of the edit is unknown")
		}
		time.Sleep(editRetryInterval)
	}
}
