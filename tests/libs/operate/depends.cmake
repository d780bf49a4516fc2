# Tests that compare documentation pages find them from the source root.
if(NOT TARGET marigold_source_root)
    add_library(marigold_source_root INTERFACE)
    target_compile_definitions(marigold_source_root INTERFACE MARIGOLD_SOURCE_ROOT="${CMAKE_SOURCE_DIR}")
endif()

# Every library with an events.h takes part in the comparison with docs/events.md.
file(GLOB event_headers CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/libs/*/events.h)
set(event_includes "")
set(event_tables "")
foreach(header ${event_headers})
    get_filename_component(library ${header} DIRECTORY)
    get_filename_component(library ${library} NAME)
    string(APPEND event_includes "#include <${library}/events.h>\n")
    string(APPEND event_tables "MARIGOLD_EVENT_TABLE(${library})\n")
endforeach()
file(CONFIGURE OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/event_pages/event_headers.inc CONTENT "${event_includes}")
file(CONFIGURE OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/event_pages/event_tables.inc CONTENT "${event_tables}")
add_library(marigold_event_pages INTERFACE)
target_include_directories(marigold_event_pages INTERFACE ${CMAKE_CURRENT_BINARY_DIR}/event_pages)

set(DEPENDS marigold_source_root marigold_event_pages)
