// Package api holds the OpenAPI document of the operators' interface; the code that is generated from it is in package oas.
package api
