/** Schema of the scheduling settings. */
import * as z from 'zod';

const part = z.strictObject({enabled: z.boolean().default(false)}).prefault({});

/** Schema of the file that `--scheduling` names, described in docs/operations/settings.md; unknown keys are errors. */
export const schedulingSettingsSchema = z.strictObject({
	targetSpeeds: part,
	refusalForecast: part,
});
