package experiment

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"pepperlead/internal/emulator"
)

// ScalePath is the path of an override that changes the size of the fleet. Its value, such as 300x100, is the number of
// instances and of endpoints. The request rate and the number of keys change in proportion to the endpoints. Scenario
// files have no such setting: Load replaces the override by those of the settings that change.
const ScalePath = "scale"

// Load reads a scenario and applies the overrides to it. If the scenario names a base, the base is read from the same
// directory.
func Load(path string, overrides ...emulator.Override) (*emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	isScale := func(o emulator.Override) bool { return o.Path == ScalePath }
	if i := slices.IndexFunc(overrides, isScale); i >= 0 {
		if overrides, err = expandScale(path, overrides, i); err != nil {
			return nil, err
		}
	}
	return emulator.Read(path, text, func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), filepath.Base(name)))
	}, overrides...)
}

// expandScale replaces the override with the path ScalePath, whose index is at, by those that change the fleet.
func expandScale(path string, overrides []emulator.Override, at int) ([]emulator.Override, error) {
	unscaled, err := Load(path, slices.Delete(slices.Clone(overrides), at, at+1)...)
	if err != nil {
		return nil, err
	}
	var instances, endpoints int
	n, err := fmt.Sscanf(fmt.Sprint(overrides[at].Value), "%dx%d", &instances, &endpoints)
	if n != 2 || err != nil || instances < 1 || endpoints < 1 {
		return nil, fmt.Errorf("scale: found %v, allowed INSTANCESxENDPOINTS, such as 300x100", overrides[at].Value)
	}
	factor := float64(endpoints) / float64(unscaled.Endpoints)
	keys := int64(math.Round(float64(unscaled.Load.Keys) * factor))
	expanded := slices.Clone(overrides[:at])
	expanded = append(expanded,
		emulator.Override{Path: "fleet.sidecars", Value: int64(instances)},
		emulator.Override{Path: "fleet.servers", Value: int64(endpoints)},
		emulator.Override{Path: "load.keys", Value: keys})
	expanded = append(expanded, overrides[at+1:]...)
	if unscaled.Load.Rate > 0 {
		expanded = append(expanded, emulator.Override{Path: "load.rate", Value: unscaled.Load.Rate * factor})
	}
	return expanded, nil
}
