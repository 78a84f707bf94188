// Package oas is the client and server generated from the OpenAPI document.
package oas
