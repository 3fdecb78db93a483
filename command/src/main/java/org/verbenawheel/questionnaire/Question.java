package org.verbenawheel.questionnaire;

/**
 * One question, the same for a terminal and for an answers file.
 *
 * @param key the key in an answers file
 * @param text the question
 * @param suggestion what an empty answer at a terminal stands for; empty if there is none
 * @param kind what an answer looks like
 */
record Question(String key, String text, String suggestion, QuestionKind kind) {}
