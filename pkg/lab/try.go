package lab

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/sheet"
)

// TrySettings configure RunTry.
type TrySettings struct {
	Program  string
	Examples string
	Out      io.Writer
	// Wait blocks until the run should end.
	Wait func()
}

// RunTry runs the example configuration: one process with both roles, configured by
// local.jsonc, and a stand-in target.
func RunTry(s TrySettings) error {
	settings, err := config.Load(filepath.Join(s.Examples, "local.jsonc"))
	if err != nil {
		return err
	}
	sheets, err := readSheets(s.Examples)
	if err != nil {
		return err
	}
	target, err := StartTarget(TargetSettings{Name: "stand-in", Listen: sheets.Rows[0].Address, Slots: 3, Queue: 8})
	if err != nil {
		return err
	}
	defer target.Stop()
	p, err := StartProcess("madderpond", s.Program, "--settings", filepath.Join(s.Examples, "local.jsonc"), "--form")
	if err != nil {
		return err
	}
	defer p.AwaitExit(startTimeout)
	defer p.Terminate()
	if _, err := p.AwaitStarted(startTimeout); err != nil {
		return err
	}
	api, err := client.NewClient([]string{settings.Admin.Listen}, "", startTimeout)
	if err != nil {
		return err
	}
	if err := applyIfEmpty(api, sheets); err != nil {
		return err
	}
	n := &Node{Settings: settings, Started: Started{Admin: settings.Admin.Listen}}
	if err := (&Cluster{}).AwaitReady(n, startTimeout); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "madderpond serves on http://%s, its administration API on http://%s\n", settings.Entry.Listen, settings.Admin.Listen)
	fmt.Fprintf(s.Out, "  curl -i http://%s/\n  bin/madderctl -s %s table get\n", settings.Entry.Listen, settings.Admin.Listen)
	fmt.Fprintln(s.Out, "press Ctrl-C for a planned stop")
	s.Wait()
	return nil
}

func readSheets(folder string) (sheet.Sheets, error) {
	var s sheet.Sheets
	services, err := os.Open(filepath.Join(folder, "local-services.csv"))
	if err != nil {
		return s, err
	}
	defer services.Close()
	rows, err := os.Open(filepath.Join(folder, "local-rows.csv"))
	if err != nil {
		return s, err
	}
	defer rows.Close()
	if s.Services, err = sheet.ReadServices(services); err != nil {
		return s, err
	}
	s.Rows, err = sheet.ReadRows(rows)
	return s, err
}

// applyIfEmpty applies the sheets unless an earlier run has left services in the table.
func applyIfEmpty(api *client.Client, s sheet.Sheets) error {
	t, err := api.Table()
	if err != nil || len(t.Services) > 0 {
		return err
	}
	_, err = ApplySheets(api, s)
	return err
}
