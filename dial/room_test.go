package dial

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestIdleConnectionsMakeRoom: however many hosts are called one after the other, no more
// connections than may be open are kept; those in use stay.
//
// Users would see an owner of 3,000 workers whose calls fail for want of descriptors, while
// most of its connections are idle.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const crowded, hosts = 32, 160
	c := testClientOf(t, Limits{PerHost: 2, Crowded: crowded, MaxAnswer: 1 << 20})
	held := make(chan struct{})
	release := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(held)
		<-release
	}))
	defer slow.Close()
	answered := make(chan error)
	go func() {
		_, err := post(c, slow.Listener.Addr().String(), time.Minute)
		answered <- err
	}()
	<-held
	most, least := 0, crowded
	for i := range hosts {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer s.Close()
		if _, err := post(c, s.Listener.Addr().String(), time.Minute); err != nil {
			t.Fatal(err)
		}
		most = max(most, c.openConns())
		if i > crowded {
			least = min(least, c.openConns())
		}
		c.mu.Lock()
		c.madeRoom = time.Time{} // as if the pause were over
		c.mu.Unlock()
	}
	if most > crowded {
		t.Errorf("%d connections are open, want at most %d", most, crowded)
	}
	if least < crowded/2 {
		t.Errorf("%d connections are left of %d: those used of late are kept", least, crowded)
	}
	close(release)
	if err := <-answered; err != nil {
		t.Errorf("a call under way was broken off: %v", err)
	}
}
