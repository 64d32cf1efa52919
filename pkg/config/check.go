package config

import (
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// remedies gives, for each validation tag, what to write instead. A remedy that ends with a
// space is completed with the tag's parameter.
var remedies = map[string]string{
	"required":      "give a value",
	"required_with": "give certificate, key and authority, or none of them",
	"name":          "use 1 to 64 of a-z, 0-9, '-', '.' and '_'",
	"ipport":        "write an IP number and a port, such as 127.0.0.1:7000",
	"oneof":         "write one of the words listed: ",
	"min":           "write at least ",
	"max":           "write at most ",
	"unique":        "name each only once",
	"startswith":    "begin it with ",
	"listsource":    "write the path of a file or http:// and an IP number",
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	checks := map[string]validator.Func{
		"name":       func(l validator.FieldLevel) bool { return namePattern.MatchString(l.Field().String()) },
		"ipport":     func(l validator.FieldLevel) bool { return isAddress(l.Field().String()) },
		"listsource": func(l validator.FieldLevel) bool { return isListSource(l.Field().String()) },
	}
	for tag, check := range checks {
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(err)
		}
	}
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return time.Duration(f.Int()) }, Duration(0))
	return v
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isListSource(s string) bool {
	if !strings.Contains(s, "://") {
		return true
	}
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && isAddress(u.Host)
}

// Check returns every problem of the settings: those of single fields first, then those of
// several fields together.
func Check(s *Settings) []Problem {
	var problems []Problem
	if err := newValidator().Struct(s); err != nil {
		for _, f := range err.(validator.ValidationErrors) {
			problems = append(problems, newProblem(f))
		}
	}
	for _, c := range crossChecks {
		if c.violated(s) {
			problems = append(problems, c.problem)
		}
	}
	return problems
}

func newProblem(f validator.FieldError) Problem {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	remedy := remedies[f.Tag()]
	if strings.HasSuffix(remedy, " ") {
		remedy += f.Param()
	}
	return Problem{Path: path, Message: "the value can't be used", Remedy: remedy}
}

// crossCheck is a rule on several fields together, with the problem to report if it is
// violated.
type crossCheck struct {
	violated func(*Settings) bool
	problem  Problem
}

var crossChecks = []crossCheck{
	{
		func(s *Settings) bool { return s.Admin.TokenFile == "" && !isLoopback(s.Admin.Listen) },
		Problem{"admin.tokenFile", "the administration API would be open to the network", "name a file that holds a token, or listen on a loopback address"},
	},
	{
		func(s *Settings) bool { return (len(s.Replicas) == 0) == (len(s.Seeds) == 0) },
		Problem{"replicas", "the control replicas are named twice, or not at all", "give either replicas or seeds"},
	},
	{
		func(s *Settings) bool { return s.Has(RoleControl) && len(s.Replicas) > 0 && !isReplica(s) },
		Problem{"replicas", "this box has the role control but isn't on the list", "add it, or take the role away"},
	},
	{
		func(s *Settings) bool { return s.Has(RoleControl) && s.Control.DataFolder == "" },
		Problem{"control.dataFolder", "a control replica needs a folder", "name one on a disk that lasts"},
	},
	{
		func(s *Settings) bool { return s.Control.Heartbeat*3 > s.Control.ElectionTimeout },
		Problem{"control.heartbeat", "it is more than a third of electionTimeout", "shorten it, or lengthen electionTimeout"},
	},
	{
		func(s *Settings) bool { return s.Entry.ShareDelay <= s.Control.Lease+s.Control.ElectionTimeout },
		Problem{"entry.shareDelay", "it is no longer than lease plus electionTimeout", "lengthen it; the margin makes up for clocks of different speed"},
	},
	{
		func(s *Settings) bool { return len(s.Seeds) > 0 && s.Has(RoleControl) && s.OwnPeerAddress() == "" },
		Problem{"peer.listen", "a replica that goes by its address needs a fixed one", "give an IP number and a port in peer.listen or peer.advertise"},
	},
	{
		func(s *Settings) bool { return s.Has(RoleControl) && replicaPort(s) == "0" },
		Problem{"replicas", "a replica's port is 0", "give each replica a port of its own"},
	},
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

func isReplica(s *Settings) bool {
	for _, r := range s.Replicas {
		if r.Box == s.Box {
			return true
		}
	}
	return false
}

func replicaPort(s *Settings) string {
	for _, r := range s.Replicas {
		if r.Box != s.Box {
			continue
		}
		_, port, _ := strings.Cut(r.Address, ":")
		return port
	}
	return ""
}
