package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Status is a router's state, for the dump.
type Status struct {
	Revision  units.Revision    `json:"revision"`
	LeaseLeft time.Duration     `json:"leaseLeft"`
	Boxes     int               `json:"boxes"`
	Listed    bool              `json:"listed"`
	Calls     int               `json:"calls"`
	Refusals  map[string]uint64 `json:"refusals,omitempty"`
	Services  []ServiceStatus   `json:"services"`
	// Evacuated lists the failure domains whose targets receive no new calls.
	Evacuated []units.Domain `json:"evacuated,omitempty"`
	// Region is the box's own region; empty if unknown.
	Region units.Region `json:"region,omitempty"`
	// Restricted lists the routes whose calls may go to some regions only.
	Restricted []RestrictedRoute `json:"restricted,omitempty"`
	Loans      LoanStatus        `json:"loans"`
	// Permits counts permits for targets that announce limits.
	Permits PermitStatus  `json:"permits"`
	Inbound InboundStatus `json:"inbound"`
	// Quotas lists the workspaces whose calls arrived here, or whose credits this box granted.
	Quotas []QuotaStatus `json:"quotas,omitempty"`
	// Canaries is the state on requests that were in flight at recent crashes of targets.
	Canaries CanaryStatus `json:"canaries"`
	// Relays counts calls relayed to other boxes and by them.
	Relays RelayStatus `json:"relays"`
}

// InboundStatus is the state of large answers that the box is receiving.
type InboundStatus struct {
	// LeftMs is how long the link will still be occupied, BusyMs how long it has been occupied
	// since the start, in milliseconds.
	LeftMs int64 `json:"leftMs"`
	BusyMs int64 `json:"busyMs"`
	// Expected is the expected number of bytes of answers that haven't begun.
	Expected int64 `json:"expected"`
	// Waits counts how often calls waited for the link before they were sent.
	Waits uint64 `json:"waits"`
}

func (r *Router) inboundStatus(now units.Instant) InboundStatus {
	return InboundStatus{
		LeftMs: r.inbound.remaining(now).Milliseconds(), BusyMs: r.inbound.busyTime(now).Milliseconds(),
		Expected: int64(r.expectedBytes), Waits: r.linkWaits,
	}
}

// LoanStatus counts the loans between boxes.
type LoanStatus struct {
	Requested   uint64 `json:"asked"`
	Lent        uint64 `json:"lent"`
	Borrowed    uint64 `json:"borrowed"`
	LentNow     int    `json:"lentNow"`
	BorrowedNow int    `json:"borrowedNow"`
}

// ServiceStatus is a box's state on a service.
type ServiceStatus struct {
	Service    units.ServiceName `json:"service"`
	Version    units.Version     `json:"version"`
	Calls      uint64            `json:"calls"`
	Refused    uint64            `json:"refused"`
	Held       int               `json:"held"`
	Retries    uint64            `json:"retries"`
	Hedges     uint64            `json:"hedges"`
	Latency    time.Duration     `json:"latency"`
	Targets    []TargetStatus    `json:"targets"`
	HedgeDelay time.Duration     `json:"hedgeDelay"`
	// Crashes counts the crashes of targets while they ran calls of this box.
	Crashes uint64 `json:"crashes"`
	// Unanswered counts the calls that targets left unanswered although they served others. Hangs
	// is set while this shows that targets hang when full; HangsFrom is the number of calls at a
	// target from which on they do, if known.
	Unanswered uint64  `json:"unanswered"`
	Hangs      bool    `json:"hangs"`
	HangsFrom  float64 `json:"hangsFrom,omitempty"`
	// Rests counts the times that targets asked this box for a rest. Resting and Leaving are the
	// numbers of targets that rest now, and that have announced their shutdown.
	Rests   uint64 `json:"rests"`
	Resting int    `json:"resting"`
	Leaving int    `json:"leaving"`
	// Limited is the number of targets that announce a limit.
	Limited int `json:"limited"`
	// CutOff is set while the box can't reach the targets, or those that some routes are restricted
	// to. CutOffMs is for how long, in milliseconds. OthersReach is set if other boxes have served
	// its calls meanwhile, Unreachable while none seems to.
	CutOff      bool  `json:"cutOff,omitempty"`
	CutOffMs    int64 `json:"cutOffMs,omitempty"`
	OthersReach bool  `json:"othersReach,omitempty"`
	Unreachable bool  `json:"unreachable,omitempty"`
	// Helpers are the standings of the other boxes during a cut.
	Helpers *HelperSurvey `json:"helpers,omitempty"`
	// LimitedSearches counts by limit how often a call wasn't allowed to probe targets. ProbesLeft is
	// the number of probes that the box may send now, ProbeRate how many it gets a second. Busy is set
	// while the service counts as busy, BusyFraction is the fraction of recent probe answers that
	// showed no room.
	LimitedSearches map[string]uint64 `json:"limitedSearches,omitempty"`
	ProbesLeft      float64           `json:"probesLeft"`
	ProbeRate       float64           `json:"probeRate"`
	Busy            bool              `json:"busy,omitempty"`
	BusyFraction    float64           `json:"busyFraction"`
	// Tokens counts the tokens that other boxes lent to this one, and those that it lent.
	Tokens TokenStatus `json:"tokens"`
	// Rollout is the state of the active rollout.
	Rollout *RolloutStatus `json:"rollout,omitempty"`
}

// RolloutStatus is a box's state on a rollout of a service.
type RolloutStatus struct {
	From  units.SoftwareVersion `json:"from"`
	To    units.SoftwareVersion `json:"to"`
	Stage table.RolloutStage    `json:"stage"`
	Order units.Revision        `json:"order"`
	// Exposed is set if this box may send calls to the new version. Share is the percentage of
	// calls in the last grant.
	Exposed bool          `json:"exposed"`
	Share   units.Percent `json:"share"`
	// Stopped is set while the box sends the new version no calls because of the answers that it
	// received itself.
	Stopped bool           `json:"stopped,omitempty"`
	Old     VersionAnswers `json:"old"`
	New     VersionAnswers `json:"new"`
}

// VersionAnswers counts the answers of a version since the rollout was ordered.
type VersionAnswers struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// TargetStatus is a box's state on a target of a service.
type TargetStatus struct {
	Target   units.TargetID `json:"target"`
	Address  string         `json:"address"`
	Region   units.Region   `json:"region,omitempty"`
	State    string         `json:"state"`
	Weight   int            `json:"weight"`
	InFlight int            `json:"inFlight"`
	// Share is this box's part of the limit; negative means unlimited.
	Share    int           `json:"share"`
	Lent     int           `json:"lent"`
	Borrowed int           `json:"borrowed"`
	Ejected  bool          `json:"ejected"`
	Ramp     float64       `json:"ramp"`
	Latency  time.Duration `json:"latency"`
	Sends    uint64        `json:"sends"`
	Answers  uint64        `json:"answers"`
	Failures uint64        `json:"failures"`
	Sheds    uint64        `json:"sheds"`
	// Unanswered counts the calls that the target left unanswered although it served others.
	Unanswered uint64 `json:"unanswered"`
	Probes     uint64 `json:"probes"`
	// Measured is the slot time that this box's probes have cost the target.
	Measured time.Duration `json:"measured"`
	// ProbeRate is the number of probes per second that this box may send to the target.
	ProbeRate float64 `json:"probeRate"`
	// RestLeftMs is how long, in milliseconds, the rest that the target asked for still lasts.
	// SaysLeaving is set once it has announced its shutdown.
	RestLeftMs  int64 `json:"restLeftMs,omitempty"`
	SaysLeaving bool  `json:"saysLeaving,omitempty"`
	// Limit is the rate, in calls per second for all boxes together, that the target announces.
	// Coordinator is the box that issues the permits, Permits the number of permits that this box
	// holds. All are empty for a target that announces no limit.
	Limit       *units.CallRate `json:"limit,omitempty"`
	Coordinator units.BoxID     `json:"permittedBy,omitempty"`
	Permits     int             `json:"permits,omitempty"`
	// Bound names why the target currently receives no new calls; empty if it may receive some.
	Bound string `json:"bound,omitempty"`
}

// Status returns the router's state at a time.
func (r *Router) Status(now units.Instant) Status {
	s := Status{
		Revision: r.table.Revision, LeaseLeft: r.leaseUntil.Sub(now), Boxes: r.rank.count,
		Listed: r.rank.listed, Calls: r.calls.Len(), Refusals: map[string]uint64{},
		Evacuated: r.table.EvacuatedDomains(), Region: r.settings.Regions[r.settings.Domain], Restricted: r.restrictedRoutes(),
		Inbound: r.inboundStatus(now), Permits: r.permits, Quotas: r.quotaStatuses(), Canaries: r.crashes.canaries.status,
		Relays: r.relayStatus(),
		Loans: LoanStatus{
			Requested: r.loans.requestTotal, Lent: r.loans.lentTotal, Borrowed: r.loans.borrowedTotal,
			LentNow: len(r.loans.lent), BorrowedNow: len(r.loans.borrowed),
		},
	}
	for _, reason := range Reasons() {
		if n := r.refusals[reason]; n > 0 {
			s.Refusals[reason.String()] = n
		}
	}
	for _, x := range r.sortedServices {
		s.Services = append(s.Services, r.serviceStatus(x, now))
	}
	return s
}

func (r *Router) serviceStatus(s *service, now units.Instant) ServiceStatus {
	status := ServiceStatus{
		Service: s.row.Name, Version: s.entry.Version, Calls: s.calls, Refused: s.refused, Held: s.held.length,
		Retries: s.retries.spent, Hedges: s.hedges.spent, Latency: s.latency.mean(), HedgeDelay: s.hedgeDelay(),
		LimitedSearches: s.searchStatus(), ProbesLeft: s.availableProbes(now), ProbeRate: r.probeBudgetRate(s), Tokens: s.borrowing.status, Busy: s.isBusy(now), BusyFraction: s.busyFraction,
		Crashes: s.crashes, Rests: s.restRequests, Unanswered: s.unanswered.total, Hangs: s.unanswered.hangs(now), HangsFrom: s.unanswered.hangLoad,
	}
	if s.rollout != nil {
		status.Rollout = s.rollout.status(now)
	}
	for _, x := range s.reaches {
		if !x.cutOff {
			continue
		}
		status.CutOff, status.CutOffMs = true, max(status.CutOffMs, now.Sub(x.cutSince).Milliseconds())
		status.OthersReach = status.OthersReach || x.othersReach()
		status.Unreachable = status.Unreachable || x.unreachable
		status.Helpers = r.survey(x)
	}
	for _, t := range s.targets {
		status.Targets = append(status.Targets, r.targetStatus(t, now))
		if t.notice.isResting(now) {
			status.Resting++
		}
		if t.notice.isLeaving() {
			status.Leaving++
		}
		if t.notice.isLimited() {
			status.Limited++
		}
	}
	return status
}

func (v *rolloutState) status(now units.Instant) *RolloutStatus {
	return &RolloutStatus{
		From: v.record.From, To: v.record.To, Stage: v.record.Stage, Order: v.record.Order, Exposed: v.exposed(now),
		Share: v.exposure.Share, Stopped: v.stopped(now), Old: sumAnswers(v.evidence.old), New: sumAnswers(v.evidence.new),
	}
}

func sumAnswers(list []routeEvidence) VersionAnswers {
	var sum VersionAnswers
	for i := range list {
		sum.Good += list[i].successes
		sum.Bad += list[i].failures
	}
	return sum
}

func (r *Router) targetStatus(t *target, now units.Instant) TargetStatus {
	share := int(t.inFlightShare.value)
	if share >= unlimited {
		share = -1
	}
	status := TargetStatus{
		Target: t.row.Target, Address: t.row.Address, Region: t.region, State: t.row.State.String(), Weight: t.row.Weight,
		InFlight: t.inFlight, Share: share, Lent: t.lentSlots, Borrowed: len(t.borrowedSlots),
		Ejected: t.health.ejected, Ramp: t.health.rampFactor(now), Latency: t.latency.mean(),
		Sends: t.sends, Answers: t.answers, Failures: t.failures, Sheds: t.sheds, Unanswered: t.unansweredCalls, Probes: t.probesSent,
		Measured: time.Duration(t.probesSent) * r.settings.ProbeCost, ProbeRate: r.probeRate(t.service, t), Bound: t.unavailableReason(now),
		SaysLeaving: t.notice.isLeaving(),
	}
	if t.notice.isResting(now) {
		status.RestLeftMs = t.notice.restUntil.Sub(now).Milliseconds()
	}
	if t.notice.isLimited() {
		x := t.notice.limit
		status.Limit = &x.current.Rate
		status.Coordinator, _ = r.coordinatorOf(t)
		status.Permits = len(x.permits)
	}
	return status
}

// unavailableReason returns the first reason for which the target receives no new calls; empty if
// there is none.
func (t *target) unavailableReason(now units.Instant) string {
	switch {
	case t.row.State.String() != "active":
		return "leaving"
	case t.notice.isLeaving():
		return "says-leaving"
	case t.notice.isResting(now):
		return "rest"
	case t.lacksPermit(now):
		return "named-limit"
	case t.evacuated:
		return "evacuated"
	case t.role > trialVersion:
		return "version"
	case t.row.Weight == 0:
		return "weight"
	case t.health.ejected:
		return "health"
	case now < t.backoffUntil:
		return "shed"
	case t.mayHang(now):
		return "may-hang"
	case !t.coldRateAdmits(now):
		return "cold"
	case t.inFlightShare.value <= 0:
		return "share"
	case !t.hasFreeSlot(now):
		return "limit"
	}
	return ""
}

// CutOff returns the services whose targets the box can't reach.
func (s *Status) CutOff() []units.ServiceName {
	names := []units.ServiceName{}
	for _, x := range s.Services {
		if x.CutOff {
			names = append(names, x.Service)
		}
	}
	return names
}

func (r *Router) relayStatus() RelayStatus {
	s := r.relays.status
	s.InFlight = r.relays.inFlight
	if r.hasCut() {
		s.Boxes = r.helperStatuses()
	}
	return s
}

// InFlight returns the number of calls that haven't been answered.
func (r *Router) InFlight() int { return r.calls.Len() }

// Serving reports whether the box should be sent calls: it has a table that it may use, and has
// been listed for long enough to have received its shares. A box that isn't serving still tries to
// serve calls that arrive.
func (r *Router) Serving(now units.Instant) bool {
	if r.settings.ServeStale {
		return !r.tableIsEmpty() && (now >= r.servingFrom || !r.hasLimits())
	}
	return now < r.leaseUntil && r.rank.listed && now >= r.servingFrom
}

// hasLimits reports whether any target has a limit that is divided among the boxes.
func (r *Router) hasLimits() bool {
	for _, s := range r.sortedServices {
		for _, t := range s.targets {
			if !t.row.Registered && (t.row.MaxInFlight > 0 || t.row.MaxConnections > 0 || t.row.MaxRate > 0) {
				return true
			}
		}
	}
	return false
}

// ServesStale reports whether this box continues to serve without a lease.
func (r *Router) ServesStale() bool { return r.settings.ServeStale }
