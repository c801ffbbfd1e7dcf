package drain

import (
	"net/http"
	"time"
)

// announcingWriter adds to the header of a response, when it is written, that its
// connection closes.
type announcingWriter struct {
	http.ResponseWriter
	listener    *Listener
	wroteHeader bool
}

// Unwrap is for http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(p []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *announcingWriter) Flush() { _ = w.FlushError() }

// FlushError is for http.ResponseController.
func (w *announcingWriter) FlushError() error {
	w.beforeHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *announcingWriter) beforeHeader() {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	if w.listener.announcing.Load() {
		// The caller must open its next connection to another instance.
		w.Header().Set("Connection", "close")
	}
}

// finish ends a response. The server then reads the rest of a request body that the handler
// left, for which a shutdown must not wait without a limit.
func (w *announcingWriter) finish() {
	w.beforeHeader()
	if w.listener.announcing.Load() {
		// An error means that the connection is closed.
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(SilenceTime))
	}
}
