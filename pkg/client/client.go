// Package client talks to the administration API for the operators' tool.
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
	"github.com/madderpond/madderpond/pkg/units"
)

// Client asks one server after another until one can answer.
type Client struct {
	servers []string
	token   string
	http    *fasthttp.Client
	// editTimeout is how long an edit is sent again before its outcome is given up.
	editTimeout time.Duration
}

const (
	// requestTimeout is how long a server may take to answer: longer than a watch waits for the next change.
	requestTimeout = 40 * time.Second
	// editRetryInterval is the pause before an edit is sent again.
	editRetryInterval = 200 * time.Millisecond
)

// NewClient returns a client of servers, each an IP number and a port. The
// token file may be empty. The error is a Settings fault.
func NewClient(servers []string, tokenFile string, patience time.Duration) (*Client, error) {
	if len(servers) == 0 {
		return nil, fault.New(fault.Settings, "name one with --server, or in MADDERPOND_SERVERS", "no server is named")
	}
	c := &Client{servers: servers, editTimeout: patience, http: &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout}}
	if tokenFile != "" {
		data, err := os.ReadFile(tokenFile)
		if err != nil {
			return nil, fault.Wrap(err, fault.Settings, "name a file that you may read", "the token can't be read")
		}
		c.token = strings.TrimSpace(string(data))
	}
	return c, nil
}

// send sends one request to one server and decodes the answer.
func (c *Client) send(server, method, path string, body, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
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
	if err := c.http.DoTimeout(request, response, requestTimeout); err != nil {
		return fault.Wrap(err, fault.Unavailable, "check that the server runs, or name another with --server", "%s doesn't answer", server)
	}
	return decodeResponse(response, into)
}

func decodeResponse(response *fasthttp.Response, into any) error {
	if strings.HasPrefix(string(response.Header.ContentType()), "application/problem+json") {
		p := &admin.Problem{}
		if err := json.Unmarshal(response.Body(), p); err != nil {
			return fault.Wrap(err, fault.Protocol, "use a madderctl of the server's version", "the server's error can't be read")
		}
		return fault.New(p.Title, p.Remedy, "%s", strings.TrimSuffix(p.Detail, "; "+p.Remedy))
	}
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = append((*raw)[:0], response.Body()...)
		return nil
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		return fault.Wrap(err, fault.Protocol, "use a madderctl of the server's version", "the server's answer can't be read")
	}
	return nil
}

// sendToAny asks the servers in turn until one answers with something else than
// that it can't.
func (c *Client) sendToAny(method, path string, body, into any) error {
	var err error
	for _, s := range c.servers {
		err = c.send(s, method, path, body, into)
		if k := fault.KindOf(err); err == nil || k != fault.Unavailable && k != fault.Unknown {
			return err
		}
	}
	return err
}

// Table returns the newest table that any server knows of.
func (c *Client) Table() (*table.Table, error) {
	t := table.NewTable()
	return t, c.sendToAny("GET", "/v1/table", nil, t)
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

// FormCluster forms the cluster.
func (c *Client) FormCluster() (*replica.Status, error) {
	s := &replica.Status{}
	return s, c.sendToAny("POST", "/v1/cluster/form", nil, s)
}

// ServerStatus is what one server says of itself.
type ServerStatus struct {
	Server string          `json:"server"`
	Status *replica.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Statuses asks every server for its state.
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

// Document returns the newest document as it was put.
func (c *Client) Document() (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.sendToAny("GET", "/v1/document", nil, &raw)
}

// PutDocument puts a document in force; it may be sent again without harm. Without an
// error its version or a higher one holds.
func (c *Client) PutDocument(document json.RawMessage) error {
	var answer json.RawMessage
	return c.sendToAny("PUT", "/v1/document", document, &answer)
}

// Targets returns the targets that registered by themselves.
func (c *Client) Targets() ([]replica.TargetReport, error) {
	var targets []replica.TargetReport
	return targets, c.sendToAny("GET", "/v1/targets", nil, &targets)
}

// SubmitReport registers a target, or tells of its state.
func (c *Client) SubmitReport(r *table.Registration) error {
	var answer json.RawMessage
	return c.sendToAny("PUT", "/v1/targets/"+string(r.Target), r, &answer)
}

// SubmitDeparture takes a registered target out for good.
func (c *Client) SubmitDeparture(id units.TargetID) error {
	var answer json.RawMessage
	return c.sendToAny("DELETE", "/v1/targets/"+string(id), nil, &answer)
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

// SubmitEvacuation evacuates a failure domain or restores it; an order may be sent again
// without harm.
func (c *Client) SubmitEvacuation(o table.EvacuationOrder) error {
	method := "DELETE"
	if o.Evacuate {
		method = "PUT"
	}
	var answer json.RawMessage
	path := "/v1/evacuations/" + url.PathEscape(string(o.Domain)) + "?operator=" + url.QueryEscape(o.Operator)
	return c.sendToAny(method, path, nil, &answer)
}

// Rollouts returns the last rollouts of services as the control replica asked knows them.
func (c *Client) Rollouts() ([]control.RolloutStatus, error) {
	var list []control.RolloutStatus
	return list, c.sendToAny("GET", "/v1/rollouts", nil, &list)
}

// SubmitRollout orders a rollout or ends the one under way; an order may be sent again
// without harm.
func (c *Client) SubmitRollout(o table.RolloutOrder) error {
	method := "PUT"
	if o.Abort {
		method = "DELETE"
	}
	var answer json.RawMessage
	path := "/v1/rollouts/" + url.PathEscape(string(o.Service)) + "?operator=" + url.QueryEscape(o.Operator)
	return c.sendToAny(method, path, o, &answer)
}

// Quarantines returns the calls that no target gets, as the control replica asked knows them.
func (c *Client) Quarantines() ([]control.QuarantineStatus, error) {
	var list []control.QuarantineStatus
	return list, c.sendToAny("GET", "/v1/quarantines", nil, &list)
}

// SubmitRelease gives a call in quarantine to targets again; an order may be sent again without
// harm.
func (c *Client) SubmitRelease(name, operator string) error {
	var answer json.RawMessage
	path := "/v1/quarantines/" + url.PathEscape(name) + "?operator=" + url.QueryEscape(operator)
	return c.sendToAny("DELETE", path, nil, &answer)
}

// Dump returns a server's whole state as JSON.
func (c *Client) Dump() (json.RawMessage, error) {
	var raw json.RawMessage
	return raw, c.sendToAny("GET", "/v1/dump", nil, &raw)
}

// Settings returns what became of a server's settings file.
func (c *Client) Settings() (*reload.Status, error) {
	status := &reload.Status{}
	return status, c.sendToAny("GET", "/v1/settings", nil, status)
}

// SubmitEdit has an edit decided. While its outcome isn't known it is sent again
// with the same id, to one server after another, which is safe: it takes effect
// once at most.
func (c *Client) SubmitEdit(edit *table.Edit) (*table.Result, error) {
	if edit.ID == "" {
		edit.ID = units.EditID(uuid.NewString())
	}
	deadline := time.Now().Add(c.editTimeout)
	for {
		result := &table.Result{}
		err := c.sendToAny("POST", "/v1/edits", edit, result)
		kind := fault.KindOf(err)
		if err == nil || kind != fault.Unavailable && kind != fault.Unknown {
			return result, err
		}
		if time.Now().After(deadline) {
			return nil, fault.Wrap(err, fault.Unknown,
				fmt.Sprintf("send it again with --id %s; it takes effect once at most", edit.ID), "the outcome of the edit isn't known")
		}
		time.Sleep(editRetryInterval)
	}
}
