package lab

import "testing"

func TestNoAddressIsGivenOutTwice(t *testing.T) {
	const addresses = 2000
	seen := map[string]bool{}
	for range addresses {
		a, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[a] {
			t.Fatalf("%s was returned twice within %d addresses", a, len(seen))
		}
		seen[a] = true
	}
}
