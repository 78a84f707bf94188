// Package api is the operators' interface: the OpenAPI document, the server generated from it, and the handlers behind it.
package api
