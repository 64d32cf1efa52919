package client

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/admin"
	"github.com/madderpond/madderpond/pkg/core/table"
)

// TableRead is a table as a server returned it.
type TableRead struct {
	Table *table.Table
	// Confirmed is set if the table was the newest when it was read.
	Confirmed bool
}

// Table returns the newest table, or the newest of the servers' own tables if none of them can
// confirm its own; see ReadTable.
func (c *Client) Table() (*table.Table, error) {
	read, err := c.ReadTable()
	return read.Table, err
}

// ReadTable reads the table from the servers in turn, until one confirms that its table is the
// newest. If none does, it returns the table of the highest revision, and an error only if no
// server returned one.
func (c *Client) ReadTable() (TableRead, error) {
	best := TableRead{Table: table.NewTable()}
	var lastErr error
	found := false
	for _, server := range c.servers {
		read, err := c.readTableFrom(server)
		switch {
		case read.Confirmed || err != nil && !mayTryNext(err):
			return read, err
		case err != nil:
			lastErr = err
		case !found || read.Table.Revision > best.Table.Revision:
			best, found = read, true
		}
	}
	if found {
		return best, nil
	}
	return best, lastErr
}

func (c *Client) readTableFrom(server string) (TableRead, error) {
	read := TableRead{Table: table.NewTable()}
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	if err := c.exchange(server, "GET", "/v1/table", nil, answer); err != nil {
		return read, err
	}
	if err := decodeResponse(answer, read.Table); err != nil {
		return read, err
	}
	read.Confirmed = len(answer.Header.Peek(admin.UnconfirmedHeader)) == 0
	return read, nil
}
