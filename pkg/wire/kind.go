package wire

// Kind is the kind of message that an envelope carries.
type Kind uint8

// The kinds whose traffic is told apart.
const (
	KindOther Kind = iota
	KindAppend
	KindAppendAnswer
	KindSnapshot
	KindVote
	KindPropose
	KindHeard
	KindRead
	KindRenew
	KindGrant
	KindTable
	KindDelta
	KindFragment
	KindLoan
	KindLimit
	KindQuota
)

var kindNames = map[Kind]string{
	KindOther: "other", KindAppend: "append", KindAppendAnswer: "append-answer", KindSnapshot: "snapshot", KindVote: "vote",
	KindPropose: "propose", KindHeard: "heard", KindRead: "read", KindRenew: "renew", KindGrant: "grant", KindTable: "table",
	KindDelta: "delta", KindFragment: "fragment", KindLoan: "loan", KindLimit: "limit", KindQuota: "quota",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// KindOf returns the kind of message that an envelope carries.
func KindOf(m *Envelope) Kind {
	switch m.Body.(type) {
	case *Envelope_AppendRequest:
		return KindAppend
	case *Envelope_AppendResponse:
		return KindAppendAnswer
	case *Envelope_SnapshotRequest:
		return KindSnapshot
	case *Envelope_VoteRequest, *Envelope_VoteResponse:
		return KindVote
	case *Envelope_ProposeRequest:
		return KindPropose
	case *Envelope_HeardRequest:
		return KindHeard
	case *Envelope_ReadRequest, *Envelope_ReadResponse:
		return KindRead
	case *Envelope_RenewRequest:
		return KindRenew
	case *Envelope_RenewResponse:
		return KindGrant
	case *Envelope_Table:
		return KindTable
	case *Envelope_DeltaBatch:
		return KindDelta
	case *Envelope_Fragment:
		return KindFragment
	case *Envelope_Loan:
		return KindLoan
	case *Envelope_Limit:
		return KindLimit
	case *Envelope_Quota:
		return KindQuota
	}
	return KindOther
}
