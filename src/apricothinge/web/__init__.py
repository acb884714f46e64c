"""HTTP/1.0 and HTTP/1.1 on asyncio protocols and httptools."""
