package lab

import "testing"

// A target whose first call ended it was said not to have started.
func TestAProcessThatExitsRightAfterItsStartHasStarted(t *testing.T) {
	for range 50 {
		p, err := StartProcess("brief", "/bin/sh", "-c", `echo '{"kind":"started"}'`)
		if err != nil {
			t.Fatal(err)
		}
		<-p.exited
		if _, err := p.AwaitStarted(startTimeout); err != nil {
			t.Fatal(err)
		}
	}
}
