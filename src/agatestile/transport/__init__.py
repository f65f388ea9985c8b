"""HTTP/1.1 connections, parsed by httptools."""
