// Package keys provides TLS from certificate files that are reloaded when they change.
package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"hyssopjunction/clock"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

var (
	reloads       = metrics.NewCounter("hyssopjunction_keys_reloads_total")
	failedReloads = metrics.NewCounter("hyssopjunction_keys_failed_reloads_total")
)

// Settings names the files, all in PEM. Certificate and Key are the process's own, Authority is what
// verifies peers.
type Settings struct {
	Certificate string
	Key         string
	Authority   string
	// AllowPlaintext permits listening without a certificate on addresses other than loopback.
	AllowPlaintext bool
	// ReloadMillis is the shortest interval between two looks at the files; 0 means one second.
	ReloadMillis clock.Millis
}

// Enabled reports whether the settings name a certificate.
func (settings Settings) Enabled() bool {
	return settings.Certificate != ""
}

// Ring holds the current certificate, key and authorities. It is safe for concurrent use.
type Ring struct {
	settings Settings
	clock    clock.Clock

	mu      sync.Mutex
	checked clock.Time
	files   map[string]file
	current material
	failing bool
}

// file is what was last seen of a file.
type file struct {
	modified time.Time
	size     int64
	content  []byte
}

type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New loads the files. It returns ErrBadFiles if one is missing or unusable.
func New(settings Settings, source clock.Clock) (*Ring, error) {
	if settings.ReloadMillis <= 0 {
		settings.ReloadMillis = clock.Second
	}
	ring := &Ring{settings: settings, clock: source, files: make(map[string]file), checked: source.Now()}
	if _, err := ring.look(); err != nil {
		return nil, err
	}
	current, err := ring.parse()
	if err != nil {
		return nil, err
	}
	ring.current = current
	return ring, nil
}

// material returns the current certificate and authorities, reloading the files if they changed.
// Files that cannot be used leave the previous material in force.
func (ring *Ring) material() material {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	now := ring.clock.Now()
	if now.Sub(ring.checked) < ring.settings.ReloadMillis {
		return ring.current
	}
	ring.checked = now
	changed, err := ring.look()
	if err == nil && !changed && !ring.failing {
		return ring.current
	}
	var next material
	if err == nil {
		next, err = ring.parse()
	}
	if err != nil {
		failedReloads.Inc()
		if !ring.failing {
			klog.ErrorS(err, "certificate reload failed, previous certificate stays in force")
		}
		ring.failing = true
		return ring.current
	}
	ring.failing = false
	ring.current = next
	reloads.Inc()
	klog.InfoS("certificate reloaded", "Certificate", ring.settings.Certificate)
	return ring.current
}

// look reads the files whose modification time or size changed and reports whether the content of
// any differs.
func (ring *Ring) look() (bool, error) {
	changed := false
	for _, path := range []string{ring.settings.Certificate, ring.settings.Key, ring.settings.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return false, ErrBadFiles{File: path, Reason: err.Error()}
		}
		known, seen := ring.files[path]
		if seen && info.ModTime().Equal(known.modified) && info.Size() == known.size {
			continue
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return false, ErrBadFiles{File: path, Reason: err.Error()}
		}
		changed = changed || !bytes.Equal(content, known.content)
		ring.files[path] = file{modified: info.ModTime(), size: info.Size(), content: content}
	}
	return changed, nil
}

// parse returns the material in the files as read last.
func (ring *Ring) parse() (material, error) {
	var next material
	if ring.settings.Certificate != "" {
		certificate, err := tls.X509KeyPair(
			ring.files[ring.settings.Certificate].content, ring.files[ring.settings.Key].content)
		if err != nil {
			return material{}, ErrBadFiles{File: ring.settings.Certificate, Reason: err.Error()}
		}
		next.certificate = &certificate
	}
	if ring.settings.Authority != "" {
		next.authorities = x509.NewCertPool()
		if !next.authorities.AppendCertsFromPEM(ring.files[ring.settings.Authority].content) {
			return material{}, ErrBadFiles{File: ring.settings.Authority, Reason: "no certificate in it"}
		}
	}
	return next, nil
}
