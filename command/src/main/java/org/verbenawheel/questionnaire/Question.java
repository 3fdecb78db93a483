package org.verbenawheel.questionnaire;

/**
 * One question of the questionnaire, used both at a terminal and for an answers file.
 *
 * @param key the key in an answers file
 * @param text the question
 * @param suggestion the default for an empty answer at a terminal; empty if there is none
 * @param kind the expected form of the answer
 */
record Question(String key, String text, String suggestion, QuestionKind kind) {}
