package wire

import "github.com/madderpond/madderpond/pkg/core/table"

// TableEnvelope returns the message that sends a whole table to a box.
func TableEnvelope(t *table.Table) *Envelope {
	return &Envelope{Body: &Envelope_Table{Table: FromTable(t)}}
}

// DeltaEnvelope returns the message that sends one delta to a box.
func DeltaEnvelope(d *table.Delta) *Envelope {
	return &Envelope{Body: &Envelope_DeltaBatch{DeltaBatch: &DeltaBatch{Deltas: []*Delta{FromDelta(d)}}}}
}
