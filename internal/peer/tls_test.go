package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// authority is a CA that signs certificates for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test CA"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: cert, key: key}
}

// write writes a certificate with ServerName, its key and the CA certificate to files
// in dir.
func (a authority) write(t *testing.T, dir string) (cert, key, ca string) {
	t.Helper()
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{ServerName},
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &own.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(own)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, ca = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	for path, block := range map[string]*pem.Block{
		cert: {Type: "CERTIFICATE", Bytes: der},
		key:  {Type: "PRIVATE KEY", Bytes: keyDER},
		ca:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key, ca
}

// canReach reports whether a call with the client's keys reaches the server. The server
// refuses every call with CodeNotReady, so any other result is an error of the connection.
func canReach(t *testing.T, address string, client Security) bool {
	t.Helper()
	pool := NewPool(Options{Security: client})
	defer pool.Close()
	conn, err := pool.Conn(address)
	if err != nil {
		t.Fatal(err)
	}
	_, err = peerpb.NewHomeClient(conn).Open(context.Background(), &peerpb.OpenRequest{})
	r := structs.AsRefusal(FromStatus(err, "open", "e2"))
	return r.Code == structs.CodeNotReady
}

// A server must accept only clients whose certificate its own CA signed. Changed
// key files have to take effect without a restart, and broken ones must not replace
// the keys in use.
func TestMutualTLSAndReload(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	keys, err := LoadKeys(first.write(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	foreignKeys, err := LoadKeys(second.write(t, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewServer(Options{Security: Security{TLS: keys.Config}})
	peerpb.RegisterHomeServer(g, &refusingHome{refusal: &structs.Refusal{Code: structs.CodeNotReady}})
	served := make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	defer func() {
		g.Stop()
		<-served
	}()
	address := l.Addr().String()
	own, foreign := Security{TLS: keys.Config}, Security{TLS: foreignKeys.Config}
	if !canReach(t, address, own) || canReach(t, address, foreign) || canReach(t, address, Security{}) {
		t.Fatal("the server must accept clients of its own CA, and reject those of another CA and those without TLS")
	}
	if canReach(t, address, Security{TLS: func() *tls.Config {
		config := keys.Config().Clone()
		config.Certificates = foreignKeys.Config().Certificates
		return config
	}}) {
		t.Fatal("the server accepted a client certificate signed by another CA")
	}
	second.write(t, dir)
	if reloaded, err := keys.reload(); !reloaded || err != nil {
		t.Fatalf("reload of changed keys = %v, %v; want true", reloaded, err)
	}
	if !canReach(t, address, foreign) {
		t.Fatal("the server does not use the changed keys")
	}
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := keys.reload(); err == nil {
		t.Fatal("reload accepted a broken certificate")
	}
	if !canReach(t, address, foreign) {
		t.Fatal("the server does not use the former keys after a failed reload")
	}
}
