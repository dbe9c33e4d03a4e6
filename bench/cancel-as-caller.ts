/** Takes a job back as a caller does. */
import {request} from 'undici';

/** Asks for the end of a job. */
export async function cancelAsCaller(id: string, entry: string): Promise<void> {
	try {
		const response = await request(`http://${entry}/v1/jobs/${encodeURIComponent(id)}`, {method: 'DELETE'});
		await response.body.dump();
	} catch {
		// The entry is gone, and the job with it.
	}
}
