package overload

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestLegalRequests guards against limits that a single client inside the limits of the configuration meets.
func TestLegalRequests(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	cases := []struct {
		name string
		send func(conn net.Conn, path string)
		want int
	}{
		{"largest body", func(conn net.Conn, path string) {
			_ = write(conn, declared(http.MethodPost, path, maxBodyBytes)+paddedJob(maxBodyBytes))
		}, http.StatusOK},
		{"a byte more", func(conn net.Conn, path string) {
			_ = write(conn, declared(http.MethodPost, path, maxBodyBytes+1)+paddedJob(maxBodyBytes+1))
		}, http.StatusRequestEntityTooLarge},
		{"a byte more in chunks", func(conn net.Conn, path string) {
			sendChunks(conn, path, paddedJob(maxBodyBytes+1), 8192)
		}, http.StatusRequestEntityTooLarge},
		{"chunks of 8 KB", func(conn net.Conn, path string) { sendChunks(conn, path, paddedJob(maxBodyBytes), 8192) }, http.StatusOK},
		{"chunks of a byte", func(conn net.Conn, path string) { sendChunks(conn, path, paddedJob(maxBodyBytes), 1) }, http.StatusOK},
		{"pieces", func(conn net.Conn, path string) {
			body := paddedJob(maxBodyBytes)
			_ = write(conn, declared(http.MethodPost, path, maxBodyBytes))
			for begin := 0; begin < maxBodyBytes; begin += maxBodyBytes / 8 {
				time.Sleep(200 * time.Millisecond)
				_ = write(conn, body[begin:begin+maxBodyBytes/8])
			}
		}, http.StatusOK},
		{"64 steps", func(conn net.Conn, path string) {
			body := `{"Spec":"text","Steps":[` + strings.Repeat(`{"Count":1,"Cpu":500},`, 63) + `{"Count":1,"Cpu":500,"After":[0,1,2,3]}]}`
			_ = write(conn, declared(http.MethodPost, path, len(body))+body)
		}, http.StatusOK},
		{"header of 12 KB", func(conn net.Conn, path string) {
			body := ordinaryJob()
			_ = write(conn, strings.Replace(declared(http.MethodPost, path, len(body)), "\r\n", "\r\nX-Field: "+strings.Repeat("s", 12_000)+"\r\n", 1)+body)
		}, http.StatusOK},
		{"header that takes 2.4 s", func(conn net.Conn, path string) {
			body := ordinaryJob()
			text := declared(http.MethodPost, path, len(body))
			for begin := range 4 {
				if begin > 0 {
					time.Sleep(800 * time.Millisecond)
				}
				_ = write(conn, text[begin*len(text)/4:(begin+1)*len(text)/4])
			}
			_ = write(conn, body)
		}, http.StatusOK},
		{"idle for 14 s", func(conn net.Conn, path string) {
			_ = write(conn, header(http.MethodGet, path)+"\r\n")
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(14 * time.Second)
			body := ordinaryJob()
			_ = write(conn, declared(http.MethodPost, path, len(body))+body)
		}, http.StatusOK},
	}
	for number, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", entry.callersAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(patience)) // Fails only on a closed connection.
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				test.send(conn, jobPath(0x1000+number))
			}()
			if test.name == "idle for 14 s" {
				<-sent // Its first response is read by send.
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != test.want {
				t.Errorf("got status %d, want %d", response.StatusCode, test.want)
			}
		})
	}
	entry.assertWithinLimits(t)
}

// sendChunks sends a body in chunks of a size.
func sendChunks(conn net.Conn, path, body string, size int) {
	var text strings.Builder
	text.WriteString(chunked(http.MethodPost, path))
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		text.WriteString(chunk(body[:min(size, len(body))]))
	}
	text.WriteString("0\r\n\r\n")
	_ = write(conn, text.String())
}
