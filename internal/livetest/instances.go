package livetest

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/freeport"
	"pepperlead/policy"
)

// loopback is the IP address of all instances and endpoints.
const loopback = "127.0.0.1"

const (
	startTimeout   = 10 * time.Second
	restartTimeout = 5 * time.Second
	stopTimeout    = 10 * time.Second
	healthInterval = 5 * time.Millisecond
	healthTimeout  = time.Second
)

// daemonProcess is a sidecar that runs as a process of its own.
type daemonProcess struct {
	id               judge.InstanceID
	zone             policy.Zone
	address          string
	listPath         string
	configPath       string
	generation       int           // incremented each time it is killed
	process          *exec.Cmd     // nil: killed and not started again
	exited           chan struct{} // closed once a killed process has exited
	ready            bool          // it has answered a health check since its start
	listDelayedUntil policy.Time
}

// startInstances starts all instances and waits until they are ready.
func (r *liveRun) startInstances() error {
	for i := range r.Scenario.Instances {
		instance, err := r.newInstance(i)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, instance)
		if err := r.writeList(instance); err != nil {
			return err
		}
		if err := r.startInstance(instance); err != nil {
			return err
		}
	}
	for _, instance := range r.instances {
		if err := r.waitReady(instance, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// newInstance chooses an address for an instance and writes its configuration.
func (r *liveRun) newInstance(number int) (*daemonProcess, error) {
	address, err := freeport.ChooseAddress(loopback)
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(r.dir, fmt.Sprint("n", number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	instance := &daemonProcess{
		id:         judge.InstanceID(number),
		zone:       r.Scenario.Zones[number%len(r.Scenario.Zones)],
		address:    address,
		listPath:   filepath.Join(dir, "servers.toml"),
		configPath: filepath.Join(dir, "pepperlead.toml"),
	}
	return instance, os.WriteFile(instance.configPath, r.configuration(instance), 0o600)
}

func (r *liveRun) startInstance(instance *daemonProcess) error {
	arguments := []string{"serve", "--config", instance.configPath, "--log", "warning"}
	if r.TraceDir != "" {
		name := fmt.Sprintf("n%d-%d.trace", instance.id, instance.generation)
		arguments = append(arguments, "--record", filepath.Join(r.TraceDir, name))
	}
	process := exec.Command(r.Daemon, arguments...)
	process.Stderr = r.Log
	if err := process.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	instance.process = process
	return nil
}

// waitReady waits until an instance answers its health check.
func (r *liveRun) waitReady(instance *daemonProcess, timeout time.Duration) error {
	client := http.Client{Timeout: healthTimeout}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(healthInterval) {
		if healthy(&client, instance.address) {
			r.mu.Lock()
			defer r.mu.Unlock()
			instance.ready = instance.process != nil
			return nil
		}
	}
	return fmt.Errorf("the sidecar at %s was not ready within %v", instance.address, timeout)
}

func healthy(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status is used
	return response.StatusCode == http.StatusOK
}

// stop shuts down all instances, kills those that take longer than stopTimeout, and then closes all endpoints.
func (r *liveRun) stop() {
	for _, instance := range r.instances {
		if process := r.process(instance); process != nil {
			_ = process.Process.Signal(syscall.SIGTERM) // it may have ended already
		}
	}
	for _, instance := range r.instances {
		if process := r.process(instance); process != nil {
			waitOrKill(process)
		}
	}
	for _, endpoint := range r.endpoints {
		endpoint.Close()
	}
}

// process returns the current process of an instance, nil if there is none.
func (r *liveRun) process(instance *daemonProcess) *exec.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return instance.process
}

func waitOrKill(process *exec.Cmd) {
	done := make(chan struct{})
	go func() {
		_ = process.Wait() // how it ended doesn't matter
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		_ = process.Process.Kill() // it may have ended just now
		<-done
	}
}
