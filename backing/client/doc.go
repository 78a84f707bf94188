// Package client reaches the platform's services over HTTP; it never sends a request twice by itself.
package client
