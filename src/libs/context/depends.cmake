set(DEPENDS marigold_base xxhash)
