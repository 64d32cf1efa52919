package table

import "github.com/madderpond/madderpond/pkg/units"

// OperationKind is what an operation does.
type OperationKind int32

// The kinds of operation.
const (
	PutService OperationKind = iota + 1
	// DeleteService removes a service with all its rows.
	DeleteService
	PutRow
	DeleteRow
)

// Operation is one change of an edit. Service is set for operations on services,
// Row for those on rows; a deletion needs only the names in them.
type Operation struct {
	Kind    OperationKind `json:"kind"`
	Service *Service      `json:"service,omitempty"`
	Row     *Row          `json:"row,omitempty"`
}

// ServiceName returns the name of the service that the operation changes.
func (o Operation) ServiceName() units.ServiceName {
	if o.Service != nil {
		return o.Service.Name
	}
	if o.Row != nil {
		return o.Row.Service
	}
	return ""
}

// Edit is an operator's change of the table. Its operations are applied
// atomically.
type Edit struct {
	// ID identifies the edit; resending it returns the first result again.
	ID       units.EditID `json:"id"`
	Operator string       `json:"operator"`
	// Bases holds, for each service that the edit changes, the version that the edit
	// is based on; zero is for a service that doesn't exist yet.
	Bases      map[units.ServiceName]units.Version `json:"bases"`
	Operations []Operation                         `json:"operations"`
}

// Outcome is the outcome of an edit.
type Outcome int32

// The outcomes of an edit.
const (
	Accepted Outcome = iota + 1
	// Conflicted: a service has changed since the edit's base version; nothing was
	// changed.
	Conflicted
	// Rejected: the edit breaks a rule; nothing was changed.
	Rejected
)

// Result is the recorded result of an edit.
type Result struct {
	Edit     units.EditID `json:"edit"`
	Operator string       `json:"operator"`
	Outcome  Outcome      `json:"outcome"`
	// Revision is the state's revision after the edit, or the current one if
	// nothing was changed.
	Revision units.Revision `json:"revision"`
	// Versions holds the version of each service of the edit, as of the result.
	Versions map[units.ServiceName]units.Version `json:"versions,omitempty"`
	// Detail describes, for people, what was wrong and how to fix it.
	Detail     string         `json:"detail,omitempty"`
	Operations int            `json:"operations"`
	At         units.WallTime `json:"at"`
}
