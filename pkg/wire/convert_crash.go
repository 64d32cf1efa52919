package wire

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromFingerprint converts a call's fingerprint to a message.
func FromFingerprint(f crash.Fingerprint) *CallFingerprint {
	return &CallFingerprint{Head: f.Head, Body: f.Body, Caller: f.Caller}
}

// ToFingerprint is the inverse of FromFingerprint; nil gives the zero value.
func ToFingerprint(f *CallFingerprint) crash.Fingerprint {
	return crash.Fingerprint{Head: f.GetHead(), Body: f.GetBody(), Caller: f.GetCaller()}
}

// FromFingerprints converts fingerprints of calls to messages.
func FromFingerprints(list []crash.Fingerprint) []*CallFingerprint {
	return mapSlice(list, FromFingerprint)
}

// ToFingerprints is the inverse of FromFingerprints.
func ToFingerprints(list []*CallFingerprint) []crash.Fingerprint {
	return mapSlice(list, ToFingerprint)
}

func fromQuarantine(q table.Quarantine) *Quarantine {
	return &Quarantine{
		Call: FromFingerprint(q.Call), Service: string(q.Service), Targets: fromTargets(q.Targets), Since: uint64(q.Since),
		At: int64(q.At), Trials: int32(q.Trials), Doubtful: q.Doubtful,
	}
}

func toQuarantine(q *Quarantine) table.Quarantine {
	return table.Quarantine{
		Call: ToFingerprint(q.Call), Service: units.ServiceName(q.Service), Targets: toTargets(q.Targets),
		Since: units.Revision(q.Since), At: units.WallTime(q.At), Trials: int(q.Trials), Doubtful: q.Doubtful,
	}
}

// FromQuarantineStep converts a step of a quarantine to a message.
func FromQuarantineStep(x *table.QuarantineStep) *QuarantineStep {
	return &QuarantineStep{
		Call: FromFingerprint(x.Call), Action: int32(x.Action), Service: string(x.Service), Targets: fromTargets(x.Targets),
		Trial: int32(x.Trial), Base: uint64(x.Base), Operator: x.Operator, Doubtful: x.Doubtful,
	}
}

// ToQuarantineStep is the inverse of FromQuarantineStep.
func ToQuarantineStep(x *QuarantineStep) *table.QuarantineStep {
	return &table.QuarantineStep{
		Call: ToFingerprint(x.Call), Action: table.QuarantineAction(x.Action), Service: units.ServiceName(x.Service),
		Targets: toTargets(x.Targets), Trial: int(x.Trial), Base: units.Revision(x.Base), Operator: x.Operator,
		Doubtful: x.Doubtful,
	}
}

// FromCrashNotes converts a box's crash notes to messages. Their times become ages relative to
// now, by the box's clock.
func FromCrashNotes(list []crash.Note, now units.Instant) []*CrashNote {
	return mapSlice(list, func(n crash.Note) *CrashNote {
		return &CrashNote{
			Number: n.Number, Age: int64(now.Sub(n.At)), Service: string(n.Service), Target: string(n.Target),
			Suspects: mapSlice(n.Suspects, func(s crash.Suspect) *CrashSuspect {
				return &CrashSuspect{Call: FromFingerprint(s.Fingerprint), Sent: int64(s.SentBefore)}
			}),
		}
	})
}

// ToCrashNotes converts the crash notes of a box's request. Their ages become times relative to
// now, the time of receipt by the receiver's clock.
func ToCrashNotes(r *RenewRequest, now units.Instant) []crash.Note {
	return mapSlice(r.CrashNotes, func(n *CrashNote) crash.Note {
		return crash.Note{
			Box: units.BoxID(r.Box.GetId()), Start: r.Start, Number: n.Number, At: now.Add(-time.Duration(n.Age)), Service: units.ServiceName(n.Service),
			Target: units.TargetID(n.Target),
			Suspects: mapSlice(n.Suspects, func(s *CrashSuspect) crash.Suspect {
				return crash.Suspect{Fingerprint: ToFingerprint(s.Call), SentBefore: time.Duration(s.Sent)}
			}),
		}
	})
}

// FromWatchedCalls converts the calls that boxes watch to messages.
func FromWatchedCalls(list []crash.WatchedCall) []*WatchedCall {
	return mapSlice(list, func(x crash.WatchedCall) *WatchedCall {
		return &WatchedCall{Call: FromFingerprint(x.Call), Quarantined: x.Quarantined, Trial: int32(x.Trial)}
	})
}

// ToWatchedCalls is the inverse of FromWatchedCalls.
func ToWatchedCalls(list []*WatchedCall) []crash.WatchedCall {
	return mapSlice(list, func(x *WatchedCall) crash.WatchedCall {
		return crash.WatchedCall{Call: ToFingerprint(x.Call), Quarantined: x.Quarantined, Trial: int(x.Trial)}
	})
}

// FromCanary converts a message between boxes about calls suspected of crashing targets.
func FromCanary(m *routing.CanaryMessage) *Canary {
	return &Canary{Kind: int32(m.Kind), Calls: FromFingerprints(m.Calls), Call: uint64(m.Call), Origin: string(m.Origin)}
}

// ToCanary is the inverse of FromCanary.
func ToCanary(m *Canary) routing.CanaryMessage {
	return routing.CanaryMessage{Kind: routing.CanaryKind(m.Kind), Calls: ToFingerprints(m.Calls), Call: routing.CallID(m.Call), Origin: units.BoxID(m.Origin)}
}
