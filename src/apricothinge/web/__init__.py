"""HTTP/1.0 and HTTP/1.1 server and client on asyncio and httptools."""
