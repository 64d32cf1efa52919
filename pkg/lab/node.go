package lab

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/admin"
)

// adminTimeout is the timeout of a request to a node's administration address.
const adminTimeout = 2 * time.Second

// get requests a path of a node's administration API and decodes the JSON answer into a value, if not nil.
func (n *Node) get(path string, into any) (status int, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + n.Admin + path)
	if err := fasthttp.DoTimeout(request, response, adminTimeout); err != nil {
		return 0, err
	}
	if into != nil {
		err = json.Unmarshal(response.Body(), into)
	}
	return response.StatusCode(), err
}

// Dump returns a node's full state.
func (n *Node) Dump() (*admin.Dump, error) {
	d := &admin.Dump{}
	status, err := n.get("/v1/dump", d)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("dump request returned status %d", status)
	}
	return d, err
}
