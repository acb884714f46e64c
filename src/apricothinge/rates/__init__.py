"""Fleet-wide rate limits per organisation and per open route."""
