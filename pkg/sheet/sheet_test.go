package sheet

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestAWrongCellIsNamedByLineAndColumn(t *testing.T) {
	scenarios := []struct {
		testName string
		sheet    string
		want     []string
	}{
		{"a word for a number", "service,target,address,weight\ns,t,10.0.0.1:80,heavy\n", []string{"line 2, column weight", `"heavy" is no whole number`}},
		{"a name for an address", "service,target,address\ns,t,example.org:80\n", []string{"line 2, column address", "IP number"}},
		{"an unknown column", "service,target,address,colour\ns,t,10.0.0.1:80,red\n", []string{"line 1, column colour"}},
		{"a missing column", "service,address\ns,10.0.0.1:80\n", []string{"line 1, column target", "missing"}},
		{"a column twice", "service,target,address,weight,weight\ns,t,10.0.0.1:80,1,2\n", []string{"column weight", "twice"}},
		{"too few cells", "service,target,address\ns,t\n", []string{"line 2", "2 cells"}},
		{"two faults at once", "service,target,address,weight\ns,t,10.0.0.1:80,-1\ns,T!,10.0.0.1:80,1\n", []string{"line 2, column weight", "line 3, column target"}},
		{"an unknown state", "service,target,address,state\ns,t,10.0.0.1:80,gone\n", []string{"column state", "active"}},
		{"an open quote", "service,target,address\n\"s,t,10.0.0.1:80\n", []string{"quote"}},
		{"no header", "", []string{"header"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := ReadRows(strings.NewReader(s.sheet))
			if err == nil {
				t.Fatal("the sheet was accepted")
			}
			for _, w := range s.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("the error lacks %q: %v", w, err)
				}
			}
		})
	}
}

func TestSheetsComeBackAsTheyWereWritten(t *testing.T) {
	services := "# a comment\nservice,work,hosts,deadline,retry_budget\na,once,a.test b.test,250ms,12.5%\nb,patient,,,\n"
	_, err := ReadServices(strings.NewReader(services))
	if err == nil || !strings.Contains(err.Error(), "line 4, column hosts") {
		t.Fatalf("a service without host and prefix was accepted: %v", err)
	}
	read, err := ReadServices(strings.NewReader(strings.Replace(services, "b,patient,,", "b,patient,b.test,", 1)))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := WriteServices(&out, read); err != nil {
		t.Fatal(err)
	}
	again, err := ReadServices(&out)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(read, again); d != "" {
		t.Fatal(d)
	}
	if read[1].Deadline != table.DefaultDeadline || read[0].RetryBudget != 12.5 {
		t.Fatalf("defaults or cells are lost: %+v", read)
	}
}

func TestRoutesSayWhetherTheirAnswersAreLarge(t *testing.T) {
	text := "route,host,path_prefix,work,services,large_answers\na,a.test,/,repeatable,s,true\nb,b.test,/,once,s,\n"
	routes, err := ReadRoutes(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if !routes[0].LargeResponses || routes[1].LargeResponses {
		t.Errorf("the routes are %+v", routes)
	}
	var out bytes.Buffer
	if err := WriteRoutes(&out, routes); err != nil {
		t.Fatal(err)
	}
	again, err := ReadRoutes(&out)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(routes, again); d != "" {
		t.Error(d)
	}
	if _, err := ReadRoutes(strings.NewReader(strings.Replace(text, "true", "huge", 1))); err == nil || !strings.Contains(err.Error(), "line 2, column large_answers") {
		t.Errorf("a word that is neither true nor false gives %v", err)
	}
}

func TestDiffFindsJustWhatDiffers(t *testing.T) {
	rows, err := ReadRows(strings.NewReader("service,target,address\ns,t1,10.0.0.1:80\ns,t2,10.0.0.2:80\n"))
	if err != nil {
		t.Fatal(err)
	}
	v := NewService()
	v.Name, v.Hosts = "s", []string{"s.test"}
	present := table.NewTable()
	present.Services["s"] = &table.Entry{Service: v, Version: 4, Rows: table.RowsOf(rows...)}
	wanted := FromTable(present)
	if operations := Diff(present, wanted, true); len(operations) != 0 {
		t.Fatalf("the same sheets differ: %+v", operations)
	}
	wanted.Rows = []table.Row{wanted.Rows[0]}
	wanted.Rows[0].Weight = 7
	operations := Diff(present, wanted, true)
	if len(operations) != 2 || operations[0].Kind != table.PutRow || operations[1].Kind != table.DeleteRow {
		t.Fatalf("unexpected operations: %+v", operations)
	}
	if bases := Bases(present, operations); bases["s"] != 4 {
		t.Fatalf("unexpected bases: %v", bases)
	}
}

func FuzzReadRows(f *testing.F) {
	f.Add("service,target,address,weight\ns,t,10.0.0.1:80,5\n")
	f.Add("service,target,address\n\"s,t")
	f.Fuzz(func(t *testing.T, text string) {
		rows, err := ReadRows(strings.NewReader(text))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := WriteRows(&out, rows); err != nil {
			t.Fatal(err)
		}
		again, err := ReadRows(&out)
		if err != nil {
			t.Fatalf("the written sheet can't be read back: %v", err)
		}
		if d := cmp.Diff(rows, again); d != "" {
			t.Fatal(d)
		}
	})
}

func TestRegionsOfRoutes(t *testing.T) {
	const header = "route,host,path_prefix,work,services,regions\n"
	scenarios := []struct {
		testName, cell string
		want           *table.AllowedRegions
	}{
		{"all", "", nil},
		{"none", "none", &table.AllowedRegions{}},
		{"two", "north south", &table.AllowedRegions{Names: []units.Region{"north", "south"}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			routes, err := ReadRoutes(strings.NewReader(header + "r,h,/,once,s," + s.cell + "\n"))
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(s.want, routes[0].Regions); d != "" {
				t.Error(d)
			}
			var out bytes.Buffer
			if err := WriteRoutes(&out, routes); err != nil {
				t.Fatal(err)
			}
			again, err := ReadRoutes(&out)
			if d := cmp.Diff(routes, again); err != nil || d != "" {
				t.Error(err, d)
			}
		})
	}
	for _, cell := range []string{"North", "north north"} {
		if _, err := ReadRoutes(strings.NewReader(header + "r,h,/,once,s," + cell + "\n")); err == nil {
			t.Errorf("%q is accepted as a list of regions", cell)
		}
	}
}
