# Runs PROGRAM and fails if its output is not that of the file EXPECTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE PRINTED RESULT_VARIABLE CODE
  TIMEOUT 5)
file(READ ${EXPECTED} WANTED)
if(NOT CODE EQUAL 0 OR NOT PRINTED STREQUAL WANTED)
  message(FATAL_ERROR "exit code ${CODE}, printed:\n${PRINTED}\nexpected:\n${WANTED}")
endif()
