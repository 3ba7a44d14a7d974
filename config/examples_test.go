package config

import (
	"os"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/document"
)

// TestExamplePublicationsAreValid checks that PreparePublication accepts the
// example publications of the two deployments.
func TestExamplePublicationsAreValid(t *testing.T) {
	for _, name := range []string{"ghoshal", "adomako"} {
		t.Run(name, func(t *testing.T) {
			b, err := os.ReadFile("../examples/" + name + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			var doc Document
			if err := document.Decode(b, &doc); err != nil {
				t.Fatal(err)
			}
			p, err := PreparePublication(&Configuration{}, doc, Environment{LogRetention: 24 * time.Hour})
			if err != nil {
				t.Fatal(err)
			}
			if got, want := len(p.Changes), 6; got != want {
				t.Errorf("changes: got %d, want %d", got, want)
			}
		})
	}
}
