package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
)

// ServerName is the DNS name in the certificate of every process. Certificates name
// the system rather than the VM, because VMs are replaced and their addresses change.
const ServerName = "buckthornroute"

// ErrNoCertificates reports that the CA file contains no certificate.
var ErrNoCertificates = errors.New("no certificate in the CA file")

// keyMaterial is the content of the certificate, key and CA files.
type keyMaterial struct {
	cert, key, ca []byte
}

// Keys is the TLS key material of a process: its certificate and key, and the CA that
// signs the certificates of all processes. Watch reloads it when the files change. Config
// may be called from any goroutine, Watch from only one.
type Keys struct {
	certPath, keyPath, caPath string

	// material is the content from which current was made.
	material keyMaterial
	current  atomic.Pointer[tls.Config]
}

// LoadKeys reads the keys from PEM files. Errors name the file.
func LoadKeys(certPath, keyPath, caPath string) (*Keys, error) {
	k := &Keys{certPath: certPath, keyPath: keyPath, caPath: caPath}
	if _, err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Config returns the TLS configuration for the next handshake, as a client or a server.
func (k *Keys) Config() *tls.Config { return k.current.Load() }

// Watch reads the files at each interval until ctx ends. It calls changed with nil after
// a change took effect, and with the error when new keys cannot be loaded; the former
// keys then stay in use. An error that repeats is reported once, until a change takes
// effect.
func (k *Keys) Watch(ctx context.Context, interval time.Duration, changed func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		reloaded, err := k.reload()
		switch {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			changed(err)
		case err == nil && reloaded:
			lastError = ""
			changed(nil)
		}
	}
}

// reload reads the files and reports whether it put a new configuration in use.
func (k *Keys) reload() (bool, error) {
	m, err := k.read()
	if err != nil {
		return false, err
	}
	if k.current.Load() != nil && m.equal(k.material) {
		return false, nil
	}
	config, err := m.config()
	if err != nil {
		return false, errors.Wrapf(err, "keys %s, %s and %s", k.certPath, k.keyPath, k.caPath)
	}
	k.material = m
	k.current.Store(config)
	return true, nil
}

// read reads the three files.
func (k *Keys) read() (keyMaterial, error) {
	var m keyMaterial
	for _, file := range []struct {
		path string
		to   *[]byte
	}{{k.certPath, &m.cert}, {k.keyPath, &m.key}, {k.caPath, &m.ca}} {
		content, err := os.ReadFile(file.path)
		if err != nil {
			return m, errors.Wrap(err, "read key file")
		}
		*file.to = content
	}
	return m, nil
}

func (m keyMaterial) equal(o keyMaterial) bool {
	return bytes.Equal(m.cert, o.cert) && bytes.Equal(m.key, o.key) && bytes.Equal(m.ca, o.ca)
}

// config returns the TLS configuration for the keys: mutual authentication with TLS 1.3.
func (m keyMaterial) config() (*tls.Config, error) {
	pair, err := tls.X509KeyPair(m.cert, m.key)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(m.ca) {
		return nil, ErrNoCertificates
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		NextProtos:   []string{"h2"},
	}, nil
}

// reloadingCredentials uses the current TLS configuration for each handshake. The embedded
// credentials, made from the first configuration, serve only the other methods.
type reloadingCredentials struct {
	credentials.TransportCredentials
	config func() *tls.Config
}

// ClientHandshake implements credentials.TransportCredentials.
func (c reloadingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.config()).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c reloadingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.config()).ServerHandshake(conn)
}

// Clone implements credentials.TransportCredentials.
func (c reloadingCredentials) Clone() credentials.TransportCredentials { return c }
