"""The fleet's duties: each says what is due for a shard, and acts only through the fence."""
