set(DEPENDS fmt crypto xxhash)
