package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	headerRequestID = "X-Request-Id"
	crashExitCode   = 3
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 64 << 20
	// defaultOutputTokens applies when a request has no max_tokens.
	defaultOutputTokens = 16
)

type chatRequest struct {
	Model               string             `json:"model"`
	Messages            []upstream.Message `json:"messages"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Stream              bool               `json:"stream"`
}

func (r chatRequest) outputTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return defaultOutputTokens
}

// Handler returns the engine's HTTP interface, with the test hooks on /admin.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /v1/streams/{request}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{request}", e.handleCancel)
	mux.HandleFunc("GET /v1/answers/{request}", e.handleAnswer)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /kv/{request}", e.handleExport)
	mux.HandleFunc("PUT /kv/{request}", e.handleImport)
	mux.HandleFunc("GET /admin/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Log()) })
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.currentFaults()) })
	mux.HandleFunc("PUT /admin/faults", e.handleFaults)
	return mux
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	if id == "" {
		http.Error(w, "the header X-Request-Id is missing", http.StatusBadRequest)
		return
	}
	e.receive(id)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.addFingerprint(id, strconv.FormatUint(xxhash.Sum64(body), 16))
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.serves(request.Model) {
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	s := e.submit(id, request, body)
	faults := e.currentFaults()
	if contains(body, faults.ResetMarker) {
		reset(w)
		return
	}
	if !e.delay(r, faults) {
		return
	}
	if request.Stream {
		e.writeStream(w, r, s, 1)
		return
	}
	e.writeWhole(w, r, s)
}

// serves reports whether a model is loaded, named with or without its version.
func (e *Engine) serves(model string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, loaded := range e.models {
		name, _, _ := strings.Cut(loaded, "@")
		if loaded == model || name == model {
			return true
		}
	}
	return len(e.models) == 0
}

func (e *Engine) delay(r *http.Request, faults Faults) bool {
	if faults.DelayMs == 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-e.clock.After(time.Duration(faults.DelayMs) * time.Millisecond):
		return true
	}
}

// reset closes the connection with a TCP reset instead of answering.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (e *Engine) answerID(s *stream) string {
	if wrong := e.currentFaults().WrongRequestID; wrong != "" {
		return wrong
	}
	return s.id
}

// writeStream sends the events from a sequence number on and follows the
// stream to its end. A cut connection leaves the stream running.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	id := e.answerID(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerRequestID, id)
	w.WriteHeader(http.StatusOK)
	writer := eventWriter{engine: e, w: w, s: s, id: id, cutAfter: e.takeCut(), faults: e.currentFaults()}
	for sequence := from; ; {
		writer.flush()
		produced, state, changed := e.observe(s)
		for ; sequence <= produced; sequence++ {
			writer.write(sequence, s.chunkData(sequence))
		}
		if state == Finished {
			writer.write(sequence, []byte("[DONE]"))
			return
		}
		if state == Cancelled {
			writer.flush()
			panic(http.ErrAbortHandler)
		}
		writer.flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// eventWriter writes events and injects the faults of a stream.
type eventWriter struct {
	engine   *Engine
	w        http.ResponseWriter
	s        *stream
	id       string
	faults   Faults
	cutAfter int
	written  int
}

func (w *eventWriter) write(sequence int, data []byte) {
	if w.cutAfter > 0 && w.written >= w.cutAfter {
		w.flush()
		panic(http.ErrAbortHandler)
	}
	w.written++
	if w.faults.SkipEvery > 0 && sequence%w.faults.SkipEvery == 0 {
		return
	}
	event := fmt.Appendf(nil, "id: %s/%s/%d\ndata: %s\n\n", w.engine.config.Name, w.id, sequence, data)
	_, _ = w.w.Write(event)
	if w.faults.DuplicateEvery > 0 && sequence%w.faults.DuplicateEvery == 0 {
		_, _ = w.w.Write(event)
	}
}

func (w *eventWriter) flush() { _ = http.NewResponseController(w.w).Flush() }

func (e *Engine) observe(s *stream) (produced int, state State, changed <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return s.produced, s.state, s.changed
}

// TokenText is the text of an output token: a function of the request and the
// sequence number, so that checkers can tell whose answer a text is.
func TokenText(requestID string, sequence int) string {
	return fmt.Sprintf("%s:%d ", requestID, sequence)
}

type usage struct {
	PromptTokens        int            `json:"prompt_tokens"`
	CompletionTokens    int            `json:"completion_tokens"`
	TotalTokens         int            `json:"total_tokens"`
	PromptTokensDetails map[string]int `json:"prompt_tokens_details"`
}

func (s *stream) usage() *usage {
	return &usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    s.outputTokens,
		TotalTokens:         s.promptTokens + s.outputTokens,
		PromptTokensDetails: map[string]int{"cached_tokens": s.cachedTokens},
	}
}

type choice struct {
	Index        int               `json:"index"`
	Delta        *upstream.Message `json:"delta,omitempty"`
	Message      *upstream.Message `json:"message,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// finishLength is the finish reason of an output that reached max_tokens.
var finishLength = "length"

// chunkData is the data of the event that carries an output token. The last
// token's event also carries the finish reason and the usage.
func (s *stream) chunkData(sequence int) []byte {
	delta := upstream.Message{Role: "assistant", Content: TokenText(s.id, sequence)}
	chunk := completion{ID: s.id, Object: "chat.completion.chunk", Model: s.model}
	chunk.Choices = []choice{{Delta: &delta}}
	if sequence == s.outputTokens {
		chunk.Choices[0].FinishReason = &finishLength
		chunk.Usage = s.usage()
	}
	data, _ := json.Marshal(chunk)
	return data
}

func (s *stream) whole() []byte {
	var text strings.Builder
	for sequence := 1; sequence <= s.outputTokens; sequence++ {
		text.WriteString(TokenText(s.id, sequence))
	}
	message := upstream.Message{Role: "assistant", Content: text.String()}
	answer := completion{ID: s.id, Object: "chat.completion", Model: s.model, Usage: s.usage()}
	answer.Choices = []choice{{Message: &message, FinishReason: &finishLength}}
	data, _ := json.Marshal(answer)
	return data
}

// writeWhole waits for the end of a request and sends its answer whole.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		_, state, changed := e.observe(s)
		if state == Finished {
			break
		}
		if state == Cancelled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
	data := s.whole()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(headerRequestID, e.answerID(s))
	if e.takeCut() > 0 {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	for _, name := range e.laggingModels() {
		models = append(models, model{ID: name, Object: "model"})
	}
	writeJSON(w, map[string]any{"object": "list", "data": models})
}

func (e *Engine) laggingModels() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.currentLoad(e.clock.Now()).LoadedModels
}

// requestOf finds the stream that a path names, or answers 404. A cancelled
// stream gets 410, so that clients do not resume it again and again.
func (e *Engine) requestOf(w http.ResponseWriter, r *http.Request) *stream {
	w.Header().Set(headerRequestID, r.PathValue("request"))
	s := e.find(r.PathValue("request"))
	if s == nil {
		http.Error(w, "unknown request", http.StatusNotFound)
		return nil
	}
	if _, state, _ := e.observe(s); state == Cancelled {
		http.Error(w, "the request was cancelled", http.StatusGone)
		return nil
	}
	return s
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from := 1
	if text := r.URL.Query().Get("from"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 {
			http.Error(w, "from must be a positive number", http.StatusBadRequest)
			return
		}
		from = number
	}
	s := e.requestOf(w, r)
	if s == nil {
		return
	}
	if from > s.outputTokens+1 {
		http.Error(w, "from is beyond the end of the stream", http.StatusBadRequest)
		return
	}
	e.writeStream(w, r, s, from)
}

func (e *Engine) handleAnswer(w http.ResponseWriter, r *http.Request) {
	if s := e.requestOf(w, r); s != nil {
		e.writeWhole(w, r, s)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.PathValue("request"))
	if !e.cancel(r.PathValue("request")) {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
