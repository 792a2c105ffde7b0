package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"pepperlead/internal/discovery"
	"pepperlead/internal/migration"
)

func migrateCommand() *cobra.Command {
	c := &cobra.Command{Use: "migrate OLD NEW", Args: exactly(2),
		Short: "Write a pool's counterpart of a configuration for one client's sidecar",
		Long: `Read a configuration of the old shape (TOML, or the platform's JSON), write its counterpart for a sidecar of a pool, and list
what changed and what could not be carried over. NEW must not exist. With --dry-run nothing is written. docs/migration.md has
the steps around it.`,
		Example: "  pepperlead migrate --dry-run --listen 10.0.0.7:9000 --instances 12 old.toml new.toml"}
	to := migration.Pool{Seed: rand.Uint64()}
	c.Flags().StringVar(&to.Listen, "listen", "", "`address` at which the pool's front reaches this sidecar")
	c.Flags().IntVar(&to.Sidecars, "instances", 0, "`number` of sidecars in the pool")
	c.Flags().IntVar(&to.Streams, "streams", 100, "`number` of tickets that one connection carries at once")
	dry := c.Flags().Bool("dry-run", false, "only say what would change; write nothing")
	c.RunE = func(c *cobra.Command, names []string) error {
		if to.Listen == "" || to.Sidecars == 0 {
			return fmt.Errorf("migrate: --listen and --instances must be given; %w", errUsage)
		}
		text, err := discovery.ReadFile(names[0])
		if err != nil {
			return err
		}
		made, err := migration.Convert(names[0], text, to)
		if err != nil {
			return err
		}
		if !*dry {
			if err := writeNew(names[1], made.Text); err != nil {
				return err
			}
		} else if _, err := os.Lstat(names[1]); err == nil {
			return fmt.Errorf("%s: it exists, and would not be overwritten", names[1])
		}
		for _, line := range made.Changed {
			fmt.Fprintln(c.OutOrStdout(), "changed", line)
		}
		for _, line := range made.Unconverted {
			fmt.Fprintln(c.OutOrStdout(), "not carried over", line)
		}
		if *dry {
			fmt.Fprintln(c.OutOrStdout(), "nothing was written")
		}
		return nil
	}
	return c
}

// writeNew writes a file that must not be there yet, whole or not at all.
func writeNew(path string, text []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Link(f.Name(), path); errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s: it exists, and is not overwritten", path)
	} else if err != nil {
		return err
	}
	return nil
}
