package wire

import "github.com/madderpond/madderpond/pkg/core/table"

// TableEnvelope is the message that gives a box a whole table.
func TableEnvelope(t *table.Table) *Envelope {
	return &Envelope{Body: &Envelope_Table{Table: FromTable(t)}}
}

// DeltaEnvelope is the message that gives a box a change of its table.
func DeltaEnvelope(d *table.Delta) *Envelope {
	return &Envelope{Body: &Envelope_DeltaBatch{DeltaBatch: &DeltaBatch{Deltas: []*Delta{FromDelta(d)}}}}
}
