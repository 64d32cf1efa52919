package wire

// Kind is the kind of message that an envelope carries.
type Kind string

// The kinds that traffic counters distinguish.
const (
	KindOther          Kind = "other"
	KindAppend         Kind = "append"
	KindAppendResponse Kind = "append-answer"
	KindSnapshot       Kind = "snapshot"
	KindVote           Kind = "vote"
	KindPropose        Kind = "propose"
	KindHeard          Kind = "heard"
	KindRead           Kind = "read"
	KindRenew          Kind = "renew"
	KindGrant          Kind = "grant"
	KindTable          Kind = "table"
	KindDelta          Kind = "delta"
	KindFragment       Kind = "fragment"
	KindLoan           Kind = "loan"
	KindLimit          Kind = "limit"
	KindQuota          Kind = "quota"
	KindCanary         Kind = "canary"
	KindReach          Kind = "reach"
	KindTokens         Kind = "tokens"
)

// KindOf returns the kind of message that an envelope carries.
func KindOf(m *Envelope) Kind {
	switch m.Body.(type) {
	case *Envelope_AppendRequest:
		return KindAppend
	case *Envelope_AppendResponse:
		return KindAppendResponse
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
	case *Envelope_Canary:
		return KindCanary
	case *Envelope_Reach:
		return KindReach
	case *Envelope_Tokens:
		return KindTokens
	}
	return KindOther
}
