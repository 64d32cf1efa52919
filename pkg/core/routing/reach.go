package routing

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A box may lose its links to targets that other boxes still reach. It can't tell that from targets
// that are down: in both cases contacts fail. So it counts the targets at which contacts failed
// since any target of the service was last heard, and takes itself to be cut off after a few
// different ones. Its calls then go to other boxes (relay.go), whose answers show which of the two
// it is. While it is cut off it sends targets nothing but probes on new connections; their answers
// end the cut.

const (
	// contactsToCutOff is how many contacts in a row must have failed, at as many different targets
	// if there are so many: a single target may have crashed, and two fail together more often than
	// three.
	contactsToCutOff = 3
	// contactsToSuspect is the same for a call that would be refused otherwise.
	contactsToSuspect = 2
	// targetsToRejoin is how many different targets, or how many checks, must have been answered to end
	// a cut.
	targetsToRejoin = 2
	// probeSilence is the time after which an unanswered probe counts as a failed contact, if no
	// target of the service has been heard for as long. Idle targets answer within a few
	// milliseconds, those behind large answers on the same link within about 0.1 s.
	probeSilence = 100 * time.Millisecond
	// shortProbeSilence is the same while the box is short of capacity: answers then wait for its own
	// link and processor.
	shortProbeSilence = 500 * time.Millisecond
	// suspicionMemory is for how long evidence on other boxes counts where this one isn't cut off.
	suspicionMemory = time.Second
	// maxDeferredFailures bounds the failures of a rollout's versions that wait until the box knows
	// whether it is cut off.
	maxDeferredFailures = 64
)

// reach is a box's evidence on whether it can reach those targets of a service that some of its
// routes may use.
type reach struct {
	service *service
	regions *table.AllowedRegions
	// heardAt is when a target was last heard: any complete answer, whatever its status.
	heardAt units.Instant
	// lost are the targets at which contacts have failed since, failures the number of these contacts.
	lost     []*target
	failures int
	// cutOff is set while the box takes itself to be cut off, since cutSince. assumed is set if no
	// contact had failed then.
	cutOff, assumed bool
	cutSince        units.Instant
	// regained are the targets heard during the cut.
	regained []*target
	// checksAnswered counts the checks answered during the cut: the other targets may be down, or may
	// have asked for a rest.
	checksAnswered int
	// servedAt is when another box last served a call during the cut; zero if none has.
	servedAt units.Instant
	// unreachable is set while no box seems to reach the targets, as far as the last call showed.
	unreachable bool
	// nextCheckAt is when the last round of checks is evaluated and the next one may begin; zero if
	// there is none to evaluate, and during a cut.
	nextCheckAt units.Instant
	// deferredFailures are failures of a rollout's versions that aren't counted yet.
	deferredFailures []versionFailure
}

// versionFailure is a failed attempt at a target of a rollout's old or new version.
type versionFailure struct {
	rollout      *rolloutState
	isNew        bool
	host, prefix string
}

// countEligible returns how many targets may serve calls, regardless of their health and limits.
func (x *reach) countEligible() int {
	n := 0
	for _, t := range x.service.targets {
		if x.regions.Allows(t.region) && t.isEligible() {
			n++
		}
	}
	return n
}

// isSuspected reports whether enough targets were lost to look for another way for a call that would
// be refused otherwise.
func (x *reach) isSuspected() bool {
	return x.cutOff || x.hasFailed(contactsToSuspect)
}

// hasFailed reports whether a number of contacts have failed in a row, at as many different targets
// if there are so many.
func (x *reach) hasFailed(contacts int) bool {
	return x.failures >= contacts && len(x.lost) >= min(contacts, x.countEligible())
}

// recordLost records a failed contact with a target, and reports whether the box is newly cut off.
// needed is the number of failed contacts that it takes.
func (x *reach) recordLost(now units.Instant, t *target, needed int) bool {
	x.failures++
	if len(x.lost) < contactsToCutOff && !slices.Contains(x.lost, t) {
		x.lost = append(x.lost, t)
	}
	x.regained = slices.DeleteFunc(x.regained, func(o *target) bool { return o == t })
	if x.cutOff || !x.hasFailed(needed) {
		return false
	}
	x.begin(now)
	return true
}

// begin begins a cut.
func (x *reach) begin(now units.Instant) {
	x.cutOff, x.cutSince, x.nextCheckAt, x.assumed = true, now, 0, false
	x.regained, x.checksAnswered, x.unreachable, x.servedAt = nil, 0, false, 0
}

// evidenceFrom is the instant from which on it counts that another box has reached the targets.
func (x *reach) evidenceFrom(now units.Instant) units.Instant {
	if x.cutOff {
		return x.cutSince
	}
	return now.Add(-suspicionMemory)
}

// recordHeard records an answer of a target, and reports whether that ends a cut. An answer to a check
// came on a connection that was opened for it.
func (x *reach) recordHeard(now units.Instant, t *target, isCheck bool) bool {
	x.heardAt = now
	x.lost, x.failures = x.lost[:0], 0
	if !x.cutOff {
		return false
	}
	if !slices.Contains(x.regained, t) {
		x.regained = append(x.regained, t)
	}
	if isCheck {
		x.checksAnswered++
	}
	if len(x.regained) < min(targetsToRejoin, x.countEligible()) && x.checksAnswered < targetsToRejoin {
		return false
	}
	x.cutOff, x.regained = false, nil
	return true
}

// othersReach reports whether another box has served a call during the cut. The targets are up then,
// and the failures are the box's own.
func (x *reach) othersReach() bool { return x.servedAt != 0 }

// reachOf returns the evidence for the targets that a call may use; nil for a call without a service.
func (c *call) reachOf() *reach {
	s := c.service
	if s == nil || c.route == nil {
		return nil
	}
	for _, x := range s.reaches {
		if x.regions.Equal(c.regions) {
			return x
		}
	}
	x := &reach{service: s, regions: c.regions}
	s.reaches = append(s.reaches, x)
	return x
}

// isCutOff reports whether the box is cut off from the targets that a call may use. Without any there
// is nothing to reach.
func (c *call) isCutOff() bool {
	x := c.reachOf()
	return x != nil && x.cutOff && c.service.hasEligibleTarget(c)
}

// contactsNeeded is the number of failed contacts from which on the box is cut off from a service.
func (r *Router) contactsNeeded(x *reach) int {
	if r.isInDoubt(x) {
		return 1
	}
	return contactsToCutOff
}

// isInDoubt reports whether the box is cut off from another service and has heard no target of this
// one since.
func (r *Router) isInDoubt(x *reach) bool {
	return r.canRelay() && r.lastCutAt != 0 && x.heardAt < r.lastCutAt && r.hasCut()
}

// hasCut reports whether the box is cut off from any service.
func (r *Router) hasCut() bool { return len(r.relays.cuts) > 0 }

// recordContactFailed records that a target couldn't be reached, or fell silent. A contact that took
// long to fail shows nothing if a target has been heard since it began.
func (r *Router) recordContactFailed(t *target, began units.Instant, e *Effects) {
	if !r.canRelay() || t.removed || !t.isEligible() {
		return
	}
	for _, x := range t.service.reaches {
		if r.now.Sub(began) >= probeSilence && began <= x.heardAt {
			continue
		}
		if x.regions.Allows(t.region) && x.recordLost(r.now, t, r.contactsNeeded(x)) {
			r.lastCutAt = r.now
			r.cutBegan(x, e)
		}
	}
}

// recordHeard records that a target was heard. On most days it only stores times.
func (r *Router) recordHeard(t *target, isCheck bool, e *Effects) {
	r.relays.heardAt = r.now
	for _, x := range t.service.reaches {
		if !x.regions.Allows(t.region) {
			continue
		}
		if x.recordHeard(r.now, t, isCheck) {
			r.cutEnded(x, e)
		}
		if x.cutOff {
			r.checkReach(x, targetsToRejoin-len(x.regained), e)
		} else {
			r.countDeferredFailures(x, e)
		}
	}
}

// isCutOffFrom reports whether the box is cut off from the targets of calls that may use a target.
func (s *service) isCutOffFrom(t *target) bool {
	return slices.ContainsFunc(s.reaches, func(x *reach) bool { return x.cutOff && x.regions.Allows(t.region) })
}

// reach returns the evidence for all of the service's targets.
func (s *service) reach() *reach { return s.reaches[0] }

// requiredSilence is the time after which an unanswered probe counts as a failed contact.
func (r *Router) requiredSilence() time.Duration {
	if r.isShort {
		return shortProbeSilence
	}
	return probeSilence
}

// recordSilentProbes records the targets that leave probes unanswered while no target of the service
// is heard. Large answers that are being received delay the answers to probes.
func (r *Router) recordSilentProbes(s *service, e *Effects) {
	heardAt, required := s.reach().heardAt, r.requiredSilence()
	if !r.canRelay() || r.now.Sub(heardAt) < required || r.inbound.remaining(r.now) > 0 {
		return
	}
	for _, t := range s.targets {
		silence := t.probeTimeout() - probeTimeout + required
		if t.probesInFlight > 0 && t.silenceCountedFor != t.probesInFlightSince && r.now.Sub(t.probesInFlightSince) >= silence {
			t.silenceCountedFor = t.probesInFlightSince
			r.recordContactFailed(t, t.probesInFlightSince, e)
		}
	}
}

// cutBegan has the calls relayed, at the end of the event, that wait for targets that the box can't
// reach any more.
func (r *Router) cutBegan(x *reach, e *Effects) {
	r.relays.status.Cuts++
	e.add(Effect{Kind: ReachChanged, Reach: x.describe(r.now)})
	r.newCuts = append(r.newCuts, x)
	isFirst := !r.hasCut()
	r.relays.cuts = append(r.relays.cuts, x)
	if isFirst {
		r.relays.cutsSince = r.now
		r.relays.checks.begin(r.now)
		r.beginSearch()
		r.checkOtherServices(x.service, e)
	}
	if !x.assumed || !r.hearsNothing() || r.relays.checks.mayCheckAssumed() {
		if awaitsPermit := r.checkReach(x, 1, e); awaitsPermit {
			r.checkNext(x)
		}
	}
	r.searchHelpers(e)
	r.checkCuts(e)
}

// cutEnded sends calls to the targets again. What was held against them during the cut was the
// box's own fault.
func (r *Router) cutEnded(x *reach, e *Effects) {
	for _, t := range x.service.targets {
		if x.regions.Allows(t.region) && t.health.ejected {
			t.health = health{}
			t.failureRate = 0
			r.healthChanged(t, e)
		}
	}
	x.deferredFailures = x.deferredFailures[:0]
	r.freedServices = append(r.freedServices, x.service)
	e.add(Effect{Kind: ReachChanged, Reach: x.describe(r.now)})
	r.removeCut(x)
	if x.assumed {
		return
	}
	r.endAssumedCuts(e)
	r.relays.checks.hurry(r.now, len(r.relays.cuts))
	r.checkCuts(e)
}

// endAssumedCuts ends the cuts that rest on nothing but others, once the last of those has ended.
func (r *Router) endAssumedCuts(e *Effects) {
	if slices.ContainsFunc(r.relays.cuts, func(x *reach) bool { return !x.assumed || x.failures > 0 }) {
		return
	}
	for _, x := range slices.Clone(r.relays.cuts) {
		x.cutOff = false
		r.cutEnded(x, e)
	}
}

// removeCut removes a cut that has ended from the list of cuts.
func (r *Router) removeCut(x *reach) {
	r.relays.cuts = slices.DeleteFunc(r.relays.cuts, func(o *reach) bool { return o == x })
}

// ReachChange reports, for the log, that the box lost or regained its links to a service's targets.
type ReachChange struct {
	Service units.ServiceName
	Regions []units.Region
	CutOff  bool
	// Lost are targets that couldn't be reached. OthersReach is set if other boxes served calls
	// meanwhile. Duration is how long a cut that has ended lasted.
	Lost        []units.TargetID
	OthersReach bool
	Duration    time.Duration
	// Unreachable is set for a SearchEnded if no box seems to reach the targets. Boxes names other
	// boxes by standing then.
	Unreachable bool
	Boxes       map[string]string
}

func (x *reach) describe(now units.Instant) *ReachChange {
	d := &ReachChange{Service: x.service.row.Name, CutOff: x.cutOff, OthersReach: x.othersReach(), Duration: now.Sub(x.cutSince)}
	d.Regions = x.regionNames()
	for _, t := range x.lost {
		d.Lost = append(d.Lost, t.row.Target)
	}
	return d
}

// deferFailure keeps a failure of a rollout's version until the box has heard a target, and so knows
// that the failure isn't its own. Failures during a cut are dropped at its end.
func (r *Router) deferFailure(t *target, f versionFailure, e *Effects) {
	x := t.service.reach()
	if !r.canRelay() || len(x.deferredFailures) >= maxDeferredFailures {
		r.countVersionFailure(f, e)
		return
	}
	x.deferredFailures = append(x.deferredFailures, f)
}

// countDeferredFailures counts the failures that were deferred.
func (r *Router) countDeferredFailures(x *reach, e *Effects) {
	for _, f := range x.deferredFailures {
		r.countVersionFailure(f, e)
	}
	x.deferredFailures = x.deferredFailures[:0]
}

// dropStaleReaches removes targets that the table no longer contains, and evidence that may belong
// to restrictions that are no longer in use.
func (s *service) dropStaleReaches() {
	for _, x := range s.reaches {
		x.lost = slices.DeleteFunc(x.lost, func(t *target) bool { return t.removed })
		x.regained = slices.DeleteFunc(x.regained, func(t *target) bool { return t.removed })
	}
	s.reaches = slices.DeleteFunc(s.reaches, func(x *reach) bool { return x.regions != nil && !x.cutOff && len(x.lost) == 0 })
}
