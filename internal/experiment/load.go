package experiment

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"pepperlead/internal/emulator"
)

// Scale is the path of a set that changes a fleet's size, as 300x100: the number of instances and of endpoints, with
// load and keys in proportion to the endpoints.
const Scale = "scale"

// Load reads a scenario and its base, which is a file in the same directory.
func Load(path string, sets ...emulator.Override) (*emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	isScale := func(s emulator.Override) bool { return s.Path == Scale }
	if i := slices.IndexFunc(sets, isScale); i >= 0 {
		if sets, err = expandScale(path, sets, i); err != nil {
			return nil, err
		}
	}
	return emulator.Read(path, text, func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), filepath.Base(name)))
	}, sets...)
}

// expandScale replaces the set that is a scale by those that it stands for.
func expandScale(path string, sets []emulator.Override, at int) ([]emulator.Override, error) {
	unscaled, err := Load(path, slices.Delete(slices.Clone(sets), at, at+1)...)
	if err != nil {
		return nil, err
	}
	var instances, endpoints int
	n, err := fmt.Sscanf(fmt.Sprint(sets[at].Value), "%dx%d", &instances, &endpoints)
	if n != 2 || err != nil || instances < 1 || endpoints < 1 {
		return nil, fmt.Errorf("scale: found %v, allowed sidecars x servers, as 300x100", sets[at].Value)
	}
	factor := float64(endpoints) / float64(unscaled.Endpoints)
	keys := int64(math.Round(float64(unscaled.Load.Keys) * factor))
	expanded := slices.Clone(sets[:at])
	expanded = append(expanded,
		emulator.Override{Path: "fleet.sidecars", Value: int64(instances)},
		emulator.Override{Path: "fleet.servers", Value: int64(endpoints)},
		emulator.Override{Path: "load.keys", Value: keys})
	expanded = append(expanded, sets[at+1:]...)
	if unscaled.Load.Rate > 0 {
		expanded = append(expanded, emulator.Override{Path: "load.rate", Value: unscaled.Load.Rate * factor})
	}
	return expanded, nil
}
