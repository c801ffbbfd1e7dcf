package entry

import (
	"errors"
	"net/http"
	"strings"
)

// anyMethod matches every HTTP method.
const anyMethod = "*"

// router implements httpx.Router of go-zero, whose own router has no wildcards.
// A path that ends in "/" matches every path below it. Paths are neither
// cleaned nor redirected, since a redirect makes clients send a request again,
// some of them with another method.
type router struct {
	// exact and prefixes map a path and a method to a handler.
	exact      map[string]map[string]http.Handler
	prefixes   map[string]map[string]http.Handler
	notFound   http.Handler
	notAllowed http.Handler
}

func newRouter() *router {
	return &router{exact: map[string]map[string]http.Handler{}, prefixes: map[string]map[string]http.Handler{}}
}

// Handle implements httpx.Router.
func (r *router) Handle(method, path string, handler http.Handler) error {
	if !strings.HasPrefix(path, "/") {
		return errors.New("path without a leading slash: " + path)
	}
	routes := r.exact
	if strings.HasSuffix(path, "/") {
		routes = r.prefixes
	}
	if routes[path] == nil {
		routes[path] = map[string]http.Handler{}
	}
	if routes[path][method] != nil {
		return errors.New("duplicate route: " + method + " " + path)
	}
	routes[path][method] = handler
	return nil
}

// SetNotFoundHandler implements httpx.Router.
func (r *router) SetNotFoundHandler(handler http.Handler) { r.notFound = handler }

// SetNotAllowedHandler implements httpx.Router.
func (r *router) SetNotAllowedHandler(handler http.Handler) { r.notAllowed = handler }

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	methods := r.handlersByMethod(request.URL.Path)
	handler := methods[request.Method]
	if handler == nil {
		handler = methods[anyMethod]
	}
	switch {
	case handler != nil:
		handler.ServeHTTP(w, request)
	case methods != nil && r.notAllowed != nil:
		r.notAllowed.ServeHTTP(w, request)
	default:
		r.notFound.ServeHTTP(w, request)
	}
}

// handlersByMethod returns the handlers of the route that matches the path, or
// nil.
func (r *router) handlersByMethod(path string) map[string]http.Handler {
	if methods := r.exact[path]; methods != nil {
		return methods
	}
	for prefix, methods := range r.prefixes {
		if strings.HasPrefix(path, prefix) {
			return methods
		}
	}
	return nil
}
