// Package keys provides TLS with certificate files that are reloaded when they change, and the
// authorization of peers by their certificates.
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

// Settings names the files, all in PEM form. Certificate and Key are those of the process, Authority
// holds the certificates with which peers are verified.
type Settings struct {
	Certificate string
	Key         string
	Authority   string
	// AllowPlaintext permits listening without a certificate on addresses other than loopback.
	AllowPlaintext bool
	// ReloadMillis is the shortest interval between two checks of the files for changes; 0 means one
	// second.
	ReloadMillis clock.Millis
}

// Enabled reports whether the settings name a certificate.
func (settings Settings) Enabled() bool {
	return settings.Certificate != ""
}

// Ring holds the current certificate, key and authorities, and reloads their files. It is safe for
// concurrent use.
type Ring struct {
	settings Settings
	clock    clock.Clock

	mu           sync.Mutex
	lastCheck    clock.Time
	files        map[string]cachedFile
	current      keyMaterial
	reloadFailed bool
}

// cachedFile is the content of a file with its modification time and size when it was last read.
type cachedFile struct {
	modified time.Time
	size     int64
	content  []byte
}

// keyMaterial holds the parsed files. Certificate and authorities are nil without a file.
type keyMaterial struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New loads the files. It returns ErrBadFiles if one is missing or unusable.
func New(settings Settings, source clock.Clock) (*Ring, error) {
	if settings.ReloadMillis <= 0 {
		settings.ReloadMillis = clock.Second
	}
	ring := &Ring{settings: settings, clock: source, files: make(map[string]cachedFile), lastCheck: source.Now()}
	if _, err := ring.readChangedFiles(); err != nil {
		return nil, err
	}
	current, err := ring.parse()
	if err != nil {
		return nil, err
	}
	ring.current = current
	return ring, nil
}

// currentMaterial returns the current certificate and authorities. It reloads the files if they changed;
// if they cannot be used, the previous certificate and authorities stay in use. The first of several
// consecutive failures is logged.
func (ring *Ring) currentMaterial() keyMaterial {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	now := ring.clock.Now()
	if now.Sub(ring.lastCheck) < ring.settings.ReloadMillis {
		return ring.current
	}
	ring.lastCheck = now
	changed, err := ring.readChangedFiles()
	if err == nil && !changed && !ring.reloadFailed {
		return ring.current
	}
	var next keyMaterial
	if err == nil {
		next, err = ring.parse()
	}
	if err != nil {
		failedReloads.Inc()
		if !ring.reloadFailed {
			klog.ErrorS(err, "certificate reload failed, previous certificate stays in use")
		}
		ring.reloadFailed = true
		return ring.current
	}
	ring.reloadFailed = false
	ring.current = next
	reloads.Inc()
	klog.InfoS("certificate reloaded", "Certificate", ring.settings.Certificate)
	return ring.current
}

// readChangedFiles reads the files whose modification time or size changed, and reports whether the
// content of any of them changed.
func (ring *Ring) readChangedFiles() (bool, error) {
	changed := false
	for _, path := range []string{ring.settings.Certificate, ring.settings.Key, ring.settings.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return false, ErrBadFiles{File: path, Reason: err.Error()}
		}
		cached, exists := ring.files[path]
		if exists && info.ModTime().Equal(cached.modified) && info.Size() == cached.size {
			continue
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return false, ErrBadFiles{File: path, Reason: err.Error()}
		}
		changed = changed || !bytes.Equal(content, cached.content)
		ring.files[path] = cachedFile{modified: info.ModTime(), size: info.Size(), content: content}
	}
	return changed, nil
}

// parse parses the files as they were last read.
func (ring *Ring) parse() (keyMaterial, error) {
	var next keyMaterial
	if ring.settings.Certificate != "" {
		certificate, err := tls.X509KeyPair(
			ring.files[ring.settings.Certificate].content, ring.files[ring.settings.Key].content)
		if err != nil {
			return keyMaterial{}, ErrBadFiles{File: ring.settings.Certificate, Reason: err.Error()}
		}
		next.certificate = &certificate
	}
	if ring.settings.Authority != "" {
		next.authorities = x509.NewCertPool()
		if !next.authorities.AppendCertsFromPEM(ring.files[ring.settings.Authority].content) {
			return keyMaterial{}, ErrBadFiles{File: ring.settings.Authority, Reason: "it holds no certificate"}
		}
	}
	return next, nil
}
