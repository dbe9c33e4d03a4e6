/** Checks data that JSON can carry. */
import * as z from 'zod';
import type {JsonValue} from './json-value.js';

/** Any JSON value, unread. */
export const jsonValueSchema = z.json() as z.ZodType<JsonValue>;
