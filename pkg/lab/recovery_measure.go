package lab

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/client"
)

// recovery measures how long no edit is accepted after the leader is killed, and how long a
// replica that lost its disk takes to become a voter again.
func (m *ControlBenchmark) recovery() error {
	m.printLine("## Recovery\n")
	m.printLine("| rows | killed leader to next accepted edit, ms | lost disk to voter again, ms | store, KB | replica MB |")
	m.printLine("|---|---|---|---|---|")
	for _, rows := range []int{100, 1000, 10_000} {
		err := m.measureRow(fmt.Sprintf("recovery-%d", rows), 3, func(c *Cluster, api *client.Client) (string, error) {
			return m.recoveryRow(c, api, rows)
		})
		if err != nil {
			return err
		}
	}
	m.printLine("")
	return nil
}

func (m *ControlBenchmark) recoveryRow(c *Cluster, api *client.Client, rows int) (string, error) {
	for i := range rows / 7 {
		if _, err := api.SubmitEdit(serviceEdit(fmt.Sprintf("s-%d", i), 0, i)); err != nil {
			return "", err
		}
	}
	killed := c.leader()
	killed.Process.Kill()
	at := time.Now()
	if _, err := api.SubmitEdit(serviceEdit("after", 0, 1)); err != nil {
		return "", err
	}
	gap := time.Since(at)
	if err := c.EraseData(killed); err != nil {
		return "", err
	}
	at = time.Now()
	if err := c.StartNode(killed); err != nil {
		return "", err
	}
	err := Eventually(startTimeout, func() error {
		d, err := killed.Dump()
		if err == nil && !d.Control.Log.Voter {
			err = fmt.Errorf("%s is not a voter yet", killed.Settings.Box)
		}
		return err
	})
	back := time.Since(at)
	if err != nil {
		return "", err
	}
	d, err := killed.Dump()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("| %d | %d | %d | %d | %.1f |", rows, gap.Milliseconds(), back.Milliseconds(),
		d.Control.StoreBytes>>10, residentMB(killed.Process.PID())), nil
}
