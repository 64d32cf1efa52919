package routing

import (
	"cmp"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// script drives one router with the commands of a file in testdata. Every command prints the
// effects that it causes.
type script struct {
	t       *testing.T
	router  *Router
	now     units.Instant
	calls   map[string]CallID
	table   *table.Table
	effects Effects
	probes  map[string]*Endpoint
	// lastProbe is the last probe of each call.
	lastProbe map[string]Effect
	// sent are the endpoints to which each call was sent, by attempt.
	sent map[string]map[AttemptNumber]*Endpoint
}

// commands are the commands of a script.
var commands = map[string]func(s *script, d *datadriven.TestData){
	"table":     (*script).setTable,
	"call":      (*script).call,
	"end":       (*script).end,
	"start":     (*script).start,
	"gone":      (*script).callerGone,
	"pass":      (*script).advance,
	"lease":     (*script).lease,
	"peer":      (*script).peer,
	"probed":    (*script).probed,
	"checked":   (*script).checked,
	"watched":   (*script).watched,
	"notes":     (*script).notes,
	"repeat":    (*script).repeat,
	"answer":    (*script).probeAnswer,
	"end-probe": (*script).endProbe,
	"stop":      (*script).stop,
	"stale":     (*script).stale,
	"targets":   (*script).targets,
	"expose":    (*script).expose,
	"evidence":  (*script).evidence,
	"regions":   (*script).regions,
	"limit":     (*script).peerLimit,

	"reach":     (*script).peerReach,
	"reached":   (*script).reached,
	"declined":  (*script).declined,
	"key-doubt": (*script).setMaxKeyStaleness,
	"quota":     (*script).quota,
	"tokens":    (*script).tokens,
	"canary":    (*script).canary,
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{
			t: t, now: units.Instant(time.Second), calls: map[string]CallID{}, table: table.NewTable(),
			probes: map[string]*Endpoint{}, lastProbe: map[string]Effect{}, sent: map[string]map[AttemptNumber]*Endpoint{},
		}
		router, err := NewRouter(Settings{
			Box: "me", Domain: "here", Seed: 1, ShareDelay: time.Second, AssumedColdPeriod: DefaultAssumedColdPeriod, ProbeCost: 5 * time.Millisecond,
			Loans: true, MaxDeadline: time.Minute,
			LinkRate: 875_000, MaxRelayed: 2,
		}, s.now)
		if err != nil {
			t.Fatal(err)
		}
		s.router = router
		datadriven.RunTest(t, path, s.command)
	})
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	f := commands[d.Cmd]
	if f == nil {
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	s.effects.Reset()
	f(s, d)
	lines := make([]string, 0, len(s.effects.List))
	for _, x := range s.effects.List {
		if text := s.describe(x); text != "" {
			lines = append(lines, text)
		}
	}
	if d.Cmd == "targets" {
		return s.listTargets()
	}
	if d.Cmd == "evidence" {
		return s.listEvidence()
	}
	if d.Cmd == "notes" {
		return s.listNotes()
	}
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func (s *script) reduce(e Event) { s.router.Reduce(s.now, e, &s.effects) }

func (s *script) describe(x Effect) string {
	name, _ := x.Owner.(string)
	switch x.Kind {
	case Send:
		s.calls[name] = x.Call
		if x.Endpoint.Relay != "" {
			return s.describeRelay(name, x)
		}
		if s.sent[name] == nil || x.Attempt == 1 {
			s.sent[name] = map[AttemptNumber]*Endpoint{}
		}
		s.sent[name][x.Attempt] = x.Endpoint
		text := fmt.Sprintf("send %s #%d to %s", name, x.Attempt, x.Endpoint.Target)
		if x.Workspace != "" {
			text += " for " + string(x.Workspace)
		}
		return text
	case Hold:
		s.calls[name] = x.Call
		return "hold " + name
	case Refuse:
		return fmt.Sprintf("refuse %s: %s, %s, again after %s", name, x.Refusal.Reason, x.Refusal.Outcome, x.Refusal.RetryAfter)
	case Deliver:
		return fmt.Sprintf("deliver %s #%d", name, x.Attempt)
	case Keep:
		return fmt.Sprintf("keep %s #%d", name, x.Attempt)
	case Cancel:
		return fmt.Sprintf("cancel %s #%d at %s", name, x.Attempt, cmp.Or(string(x.Endpoint.Target), string(x.Endpoint.Relay)))
	case Probe:
		s.probes[string(x.Endpoint.Target)] = x.Endpoint
		if x.Attempt == crashProbeNumber && x.Call == 0 {
			return "check " + string(x.Endpoint.Target)
		}
		if x.Attempt == reachProbe && x.Call == 0 {
			return describeCheck(x)
		}
		if x.Call == 0 {
			return "probe " + string(x.Endpoint.Target)
		}
		s.calls[name] = x.Call
		s.lastProbe[name] = x
		return fmt.Sprintf("probe %s for %s", x.Endpoint.Target, name)
	case EjectionChanged:
		return ""
	case ExposureSwitched:
		return describeSwitch(x.ExposureSwitch)
	case ReachChanged:
		return describeReach(x.Reach)
	case SearchEnded:
		return describeSearch(x.Reach)
	case RegionUnknown:
		return "the region of " + string(x.Endpoint.Domain) + " isn't known"
	case ServiceHangs:
		return fmt.Sprintf("%s hangs, by %d unanswered calls", x.Endpoint.Service, x.Failures)
	case TargetCrashed:
		return fmt.Sprintf("%s crashed under %s", x.Endpoint.Target, describeSuspects(x.Crash))
	case CallQuarantined:
		return fmt.Sprintf("%.8s is to blame for %v", x.Verdict.Fingerprint, x.Verdict.Targets)
	case TargetNotice:
		return s.describeNotice(x)
	case SendLoanMessage:
		return fmt.Sprintf("tell %s: %s", x.Peer, describeLoan(x.Loan))
	case SendQuotaMessage:
		return fmt.Sprintf("tell %s: %s", x.Peer, describeQuota(x.Quota))
	case SendCanaryMessage:
		return fmt.Sprintf("tell %s: %s", x.Peer, describeCanary(x.Canary))
	case SendTokenMessage:
		return describeTokens(x)
	case SendReachMessage:
		return describeReachMessage(x)
	case SendLimitMessage:
		return fmt.Sprintf("tell %s: %s", x.Peer, describeLimit(x.Limit))
	}
	return "unknown effect"
}

var loanKindNames = map[LoanKind]string{
	RequestSlots: "want", OfferSlot: "offer", ReturnSlot: "return", RenewLoans: "renew", ConfirmLoans: "confirm", RecallSlots: "recall",
}

func describeLoan(m LoanMessage) string {
	text := loanKindNames[m.Kind]
	if m.Target != "" {
		text += " " + string(m.Target)
	}
	if m.Loan != 0 {
		text += fmt.Sprintf(" loan %d", m.Loan)
	}
	if len(m.Loans) > 0 {
		text += fmt.Sprintf(" loans %v", m.Loans)
	}
	if m.Term > 0 {
		text += fmt.Sprintf(" for %s", m.Term)
	}
	return fmt.Sprintf("%s, %d to spare", text, m.SpareSlots)
}

// setTable applies a table: lines of "boxes NAME[@DOMAIN[,leaving][,peer]]...", "service NAME
// COLUMN=VALUE...", "row SERVICE TARGET COLUMN=VALUE...", "registered SERVICE TARGET [DOMAIN]
// [leaving] [silent] [cold=TIME] [software=V]", "in-force SERVICE V", "rollout SERVICE FROM TO
// STAGE ORDER SINCE SHARE [TARGET,TARGET...]", "evacuated DOMAIN", "restored DOMAIN REVISION" and
// "route NAME COLUMN=VALUE...", with commas in place of spaces; "keys" where calls need one, and
// "workspace NAME [priority=N] [rate=N] KEY...", with a burst of a second.
func (s *script) setTable(d *datadriven.TestData) {
	next := table.NewTable()
	next.Revision = s.table.Revision + 1
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		words := strings.Fields(line)
		tableLines[words[0]](s, next, words[1:])
	}
	s.table = next
	s.reduce(&TableChanged{Table: next})
}

// tableLines are the kinds of lines of a table; each adds to the table.
var tableLines = map[string]func(s *script, t *table.Table, words []string){
	"boxes":      (*script).addBoxes,
	"service":    (*script).addService,
	"row":        (*script).addRow,
	"registered": (*script).addRegistered,
	"evacuated":  (*script).addEvacuated,
	"restored":   (*script).addRestored,
	"route":      (*script).addRoute,
	"in-force":   (*script).addInForce,
	"rollout":    (*script).addRollout,
	"quarantine": (*script).addQuarantine,
	"keys":       (*script).requireKeys,
	"workspace":  (*script).addWorkspace,
}

func (s *script) addBoxes(t *table.Table, words []string) {
	for _, w := range words {
		id, domain, _ := strings.Cut(w, "@")
		domain, peer := strings.CutSuffix(domain, ",peer")
		domain, leaving := strings.CutSuffix(domain, ",leaving")
		b := table.Box{ID: units.BoxID(id), Domain: units.Domain(domain), Leaving: leaving}
		if peer {
			b.Address = id + ":1"
		}
		t.Boxes = append(t.Boxes, b)
	}
}

func (s *script) addService(t *table.Table, words []string) {
	v := sheet.NewService()
	v.Name, v.Hosts = units.ServiceName(words[0]), []string{words[0]}
	s.setCells(words[1:], func(name, value string) error { return sheet.SetServiceCell(&v, name, value) })
	t.Services[v.Name] = &table.Entry{Service: v, Version: units.Version(t.Revision)}
}

func (s *script) addRow(t *table.Table, words []string) {
	r := sheet.NewRow()
	r.Service, r.Target, r.Address = units.ServiceName(words[0]), units.TargetID(words[1]), "127.0.0.1:1"
	s.setCells(words[2:], func(name, value string) error { return sheet.SetRowCell(&r, name, value) })
	entry := t.Services[r.Service]
	entry.Rows = entry.Rows.With(r)
}

func (s *script) addRegistered(t *table.Table, words []string) {
	r := table.Row{
		Service: units.ServiceName(words[0]), Target: units.TargetID(words[1]), Address: "127.0.0.1:1",
		Weight: 100, State: table.Active, Registered: true, Slots: 3,
	}
	for _, w := range words[2:] {
		s.setRowAttribute(&r, w)
	}
	entry := t.Services[r.Service]
	entry.Rows = entry.Rows.With(r)
}

func (s *script) addEvacuated(t *table.Table, words []string) {
	t.Evacuations = append(t.Evacuations, table.Evacuation{Domain: units.Domain(words[0]), Active: true})
}

func (s *script) addRestored(t *table.Table, words []string) {
	since, err := strconv.Atoi(words[1])
	if err != nil {
		s.t.Fatal(err)
	}
	t.Evacuations = append(t.Evacuations, table.Evacuation{Domain: units.Domain(words[0]), Since: units.Revision(since)})
}

func (s *script) addRoute(t *table.Table, words []string) {
	v := sheet.NewRoute()
	v.Name = words[0]
	s.setCells(words[1:], func(name, value string) error {
		return sheet.SetRouteCell(&v, name, strings.ReplaceAll(value, ",", " "))
	})
	if t.Routes == nil {
		t.Routes = map[table.RouteKey]*table.Route{}
	}
	t.Routes[v.Key()] = &v
	t.Document = units.DocumentVersion(t.Revision)
}

func (s *script) requireKeys(t *table.Table, _ []string) {
	t.KeysRequired = true
	t.Document = units.DocumentVersion(t.Revision)
}

func (s *script) addWorkspace(t *table.Table, words []string) {
	w := table.Workspace{Name: units.WorkspaceName(words[0])}
	for _, word := range words[1:] {
		if rate, limits := strings.CutPrefix(word, "rate="); limits {
			n, err := strconv.ParseFloat(rate, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			w.Rate, w.Burst = units.CallRate(n), n
			continue
		}
		priority, ranks := strings.CutPrefix(word, "priority=")
		if !ranks {
			w.Keys = append(w.Keys, apikey.DigestOf([]byte(word)))
			continue
		}
		n, err := strconv.Atoi(priority)
		if err != nil {
			s.t.Fatal(err)
		}
		w.Priority, w.Ranked = n, true
	}
	t.Workspaces = append(t.Workspaces, w)
	s.requireKeys(t, nil)
}

// setRowAttribute sets an attribute of a registered target: "leaving", "silent", "cold=TIME",
// "born=TIME", "software=V" or a domain.
func (s *script) setRowAttribute(r *table.Row, word string) {
	if left, isCold := strings.CutPrefix(word, "cold="); isCold {
		cold, err := time.ParseDuration(left)
		if err != nil {
			s.t.Fatal(err)
		}
		r.Cold = cold
		return
	}
	if v, hasBorn := strings.CutPrefix(word, "born="); hasBorn {
		born, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			s.t.Fatal(err)
		}
		r.Born = units.WallTime(born)
		return
	}
	if v, named := strings.CutPrefix(word, "software="); named {
		r.Software = units.SoftwareVersion(v)
		return
	}
	switch word {
	case "leaving":
		r.State = table.Leaving
	case "silent":
		r.Silent = true
	default:
		r.Domain = units.Domain(word)
	}
}

func (s *script) setCells(words []string, set func(name, value string) error) {
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		if err := set(name, value); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *script) duration(d *datadriven.TestData, key string) time.Duration {
	return scriptargs.Duration(s.t, d, key)
}

func (s *script) word(d *datadriven.TestData, key string) string {
	var text string
	d.ScanArgs(s.t, key, &text)
	return text
}

// call NAME service=S [path=P] [deadline=D] [like=X] [key=K] [from=BOX] [elapsed=D] [attempts=N]
// [revision=N] [streamed]: calls with the same X have the same content; one with from is relayed by another
// box, a streamed one reads its body while that is sent.
func (s *script) call(d *datadriven.TestData) {
	path := "/"
	d.MaybeScanArgs(s.t, "path", &path)
	v := &CallArrived{
		Owner: d.CmdArgs[0].Key, Host: []byte(s.word(d, "service")), Path: []byte(path), Deadline: s.duration(d, "deadline"),
	}
	v.Streamed = d.HasArg("streamed")
	if d.HasArg("like") {
		v.Identity = wordIdentity(s.word(d, "like"))
	}
	if d.HasArg("key") {
		v.Credential = apikey.CredentialFromHeader([][]byte{[]byte(s.word(d, "key"))})
	}
	if d.HasArg("from") {
		v.Relayed = s.relayedCall(d)
	}
	s.reduce(v)
}

// answer CALL TARGET load=N pace=P [cold=TIME] [rest=D] [leaving] is the answer to a call's probe.
func (s *script) probeAnswer(d *datadriven.TestData) {
	var load int
	var pace string
	d.ScanArgs(s.t, "load", &load)
	d.ScanArgs(s.t, "pace", &pace)
	x, err := strconv.ParseFloat(pace, 64)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	s.endProbeOf(d, ProbeEnded{Healthy: true, Report: TargetReport{HasLoad: true, InFlight: float64(load), Slots: 3, Pace: x, Cold: s.duration(d, "cold")}})
}

// end-probe CALL TARGET how=unreachable|misdirected|healthy [rest=D] [leaving] ends a call's probe
// without a load report.
func (s *script) endProbe(d *datadriven.TestData) {
	how := s.word(d, "how")
	s.endProbeOf(d, ProbeEnded{Healthy: how == "healthy", Unreachable: how == "unreachable", Misdirected: how == "misdirected"})
}

func (s *script) endProbeOf(d *datadriven.TestData, v ProbeEnded) {
	probe := s.lastProbe[d.CmdArgs[0].Key]
	s.setNotice(d, &v.Report)
	v.Target, v.Call, v.Attempt = s.probes[d.CmdArgs[1].Key], probe.Call, probe.Attempt
	s.reduce(&v)
}

// stop within=D plans a stop of the box.
func (s *script) stop(d *datadriven.TestData) {
	s.reduce(&StopPlanned{Until: s.now.Add(s.duration(d, "within"))})
}

// regions DOMAIN=REGION... sets the regions of the failure domains.
func (s *script) regions(d *datadriven.TestData) {
	regions := map[units.Domain]units.Region{}
	for _, a := range d.CmdArgs {
		regions[units.Domain(a.Key)] = units.Region(a.Vals[0])
	}
	s.reduce(&RegionsChanged{Regions: regions})
}

// stale lets the router serve without a lease.
func (s *script) stale(*datadriven.TestData) { s.router.settings.ServeStale = true }

// key-doubt limit=D sets for how long a box without contact to the control replicas
// accepts API keys.
func (s *script) setMaxKeyStaleness(d *datadriven.TestData) {
	s.router.settings.MaxKeyStaleness = s.duration(d, "limit")
}

var resultsByName = map[string]AttemptResult{
	"answered": Answered, "failed": Failed, "shed": Shed, "misdirected": Misdirected, "not-sent": NotSent, "broken": Broken,
	"withheld": Withheld,
}

// end NAME attempt=N result=R [load=N] [refused] [unreachable] [rest=D] [leaving] ends an attempt. With a load
// the answer reports it, at the usual pace.
func (s *script) end(d *datadriven.TestData) {
	var n int
	d.ScanArgs(s.t, "attempt", &n)
	v := &AttemptEnded{Call: s.calls[d.CmdArgs[0].Key], Attempt: AttemptNumber(n), Result: resultsByName[s.word(d, "result")]}
	if d.HasArg("load") {
		var load int
		d.ScanArgs(s.t, "load", &load)
		v.Report = TargetReport{HasLoad: true, InFlight: float64(load), Slots: 3, Pace: 1}
	}
	v.Refused = d.HasArg("refused")
	v.Unreachable = d.HasArg("unreachable")
	v.Endpoint = s.sent[d.CmdArgs[0].Key][v.Attempt]
	s.setNotice(d, &v.Report)
	s.reduce(v)
}

// start NAME attempt=N [coming=N] [leaving] starts the answer of an attempt, with the bytes still
// to come.
func (s *script) start(d *datadriven.TestData) {
	var n, coming int
	d.ScanArgs(s.t, "attempt", &n)
	d.MaybeScanArgs(s.t, "coming", &coming)
	v := &AttemptStarted{Call: s.calls[d.CmdArgs[0].Key], Attempt: AttemptNumber(n), Remaining: coming}
	v.Endpoint = s.sent[d.CmdArgs[0].Key][v.Attempt]
	s.setNotice(d, &v.Report)
	s.reduce(v)
}

// gone NAME: the caller has disconnected.
func (s *script) callerGone(d *datadriven.TestData) {
	s.reduce(&CallerGone{Call: s.calls[d.CmdArgs[0].Key]})
}

// pass time=D advances the time, with a tick whenever one is due.
func (s *script) advance(d *datadriven.TestData) {
	end := s.now.Add(s.duration(d, "time"))
	for s.router.NextWake() <= end {
		s.now = max(s.now, s.router.NextWake())
		s.reduce(&Tick{})
	}
	s.now = end
}

// lease for=D renews the lease.
func (s *script) lease(d *datadriven.TestData) {
	s.reduce(&LeaseChanged{Until: s.now.Add(s.duration(d, "for")), At: s.now})
}

// peer BOX kind=K service=S [target=T] [loan=N] [nonce=N] [free=N] [term=D] is a message of another
// box about loans.
func (s *script) peer(d *datadriven.TestData) {
	m := LoanMessage{Service: units.ServiceName(s.word(d, "service")), Count: 1}
	for k, w := range loanKindNames {
		if w == s.word(d, "kind") {
			m.Kind = k
		}
	}
	if d.HasArg("target") {
		m.Target = units.TargetID(s.word(d, "target"))
	}
	d.MaybeScanArgs(s.t, "loan", (*uint64)(&m.Loan))
	d.MaybeScanArgs(s.t, "nonce", &m.Nonce)
	d.MaybeScanArgs(s.t, "free", &m.SpareSlots)
	m.Term = maxLoanTerm
	if d.HasArg("term") {
		m.Term = s.duration(d, "term")
	}
	s.reduce(&PeerLoan{From: units.BoxID(d.CmdArgs[0].Key), Message: m})
}

// probed TARGET healthy=true|false [answered] [refused] [rest=D] [leaving] ends a probe that no
// call waits for.
func (s *script) probed(d *datadriven.TestData) {
	v := &ProbeEnded{Target: s.probes[d.CmdArgs[0].Key], Healthy: s.word(d, "healthy") == "true"}
	v.Answered, v.Refused = d.HasArg("answered"), d.HasArg("refused")
	v.Unreachable = v.Refused
	s.setNotice(d, &v.Report)
	s.reduce(v)
}

// repeat service=S count=N result=R makes calls one after the other, each of which ends at once.
// The targets command shows how they were distributed.
func (s *script) repeat(d *datadriven.TestData) {
	var n int
	d.ScanArgs(s.t, "count", &n)
	result := resultsByName[s.word(d, "result")]
	for i := range n {
		before := len(s.effects.List)
		s.reduce(&CallArrived{Owner: fmt.Sprintf("r%d", i), Host: []byte(s.word(d, "service")), Path: []byte("/")})
		for k := before; k < len(s.effects.List); k++ {
			if x := s.effects.List[k]; x.Kind == Send {
				s.now = s.now.Add(time.Millisecond)
				s.reduce(&AttemptEnded{Call: x.Call, Attempt: x.Attempt, Result: result})
			}
		}
	}
	s.effects.Reset()
}

// targets prints the router's state of its targets.
func (s *script) targets(*datadriven.TestData) {}

func (s *script) listTargets() string {
	var lines []string
	for _, v := range s.router.Status(s.now).Services {
		for _, x := range v.Targets {
			lines = append(lines, fmt.Sprintf("%s/%s share=%d in-flight=%d lent=%d borrowed=%d ejected=%t sends=%d bound=%s",
				v.Service, x.Target, x.Share, x.InFlight, x.Lent, x.Borrowed, x.Ejected, x.Sends, x.Bound))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

var quotaKindNames = map[QuotaKind]string{RequestCredits: "ask", GrantCredits: "grant", ReturnCredits: "return"}

func describeQuota(m *QuotaMessage) string {
	text := fmt.Sprintf("%s %d credits of %s", quotaKindNames[m.Kind], m.Count, m.Workspace)
	if m.RetryAfter > 0 {
		text += fmt.Sprintf(", again after %s", m.RetryAfter)
	}
	return text
}

// quota BOX kind=ask|grant|return workspace=W count=N [again=D] is a message of another box. A
// grant answers the last request to that box.
func (s *script) quota(d *datadriven.TestData) {
	from := units.BoxID(d.CmdArgs[0].Key)
	var count int
	d.ScanArgs(s.t, "count", &count)
	m := QuotaMessage{Workspace: units.WorkspaceName(s.word(d, "workspace")), Count: count, RetryAfter: s.duration(d, "again")}
	for kind, word := range quotaKindNames {
		if word == s.word(d, "kind") {
			m.Kind = kind
		}
	}
	if u := s.router.quotas.byWorkspace[m.Workspace]; u != nil && m.Kind == GrantCredits {
		for _, a := range u.requests {
			if a.holder == from {
				m.Nonce = a.nonce
			}
		}
	}
	s.reduce(&PeerQuota{From: from, Message: m})
}
