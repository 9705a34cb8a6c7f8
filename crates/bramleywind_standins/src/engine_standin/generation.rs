//! The state of a request that the scheduler, which generates the answer, shares with the connection that
//! sends it.

use std::{
    cell::RefCell,
    convert::Infallible,
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame};

use super::{
    chat_messages::{ChatAnswer, ChatChoice, ChatDelta, ChatMessage, ChatRequest, ChatUsage},
    token_text::TokenText,
};

/// Placeholder for the text of a token in the template of an event.
const TOKEN_PLACEHOLDER: &str = "@token@";

/// A request and the part of its answer that is ready to be sent.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) request: ChatRequest,
    pub(super) id: Box<str>,
    pub(super) prompt_tokens: u32,
    pub(super) end_token: u32,
    /// Whether the limit of the request, rather than that of the engine, determines `end_token`.
    pub(super) is_length_limited: bool,
    text: TokenText,
    /// The parts of an event before and after the token. They are encoded once, because encoding each event
    /// separately would use most of a core.
    event_start: Box<[u8]>,
    event_end: Box<[u8]>,
    output: RefCell<GenerationOutput>,
}

#[derive(Debug, Default)]
struct GenerationOutput {
    ready: BytesMut,
    waker: Option<Waker>,
    usage: Option<ChatUsage>,
    is_finished: bool,
    is_cancelled: bool,
}

impl Generation {
    pub(super) fn new(request: ChatRequest, id: Box<str>, stop_after: Option<u32>) -> Self {
        let prompt_words =
            request.messages.iter().flat_map(|message| message.content.split_whitespace());
        let prompt_tokens = prompt_words.count() as u32;
        let end_token = request.max_tokens.min(stop_after.unwrap_or(u32::MAX));
        let text = TokenText::new(&request.messages);
        let mut generation = Self {
            prompt_tokens,
            end_token,
            is_length_limited: end_token == request.max_tokens,
            text,
            event_start: Box::default(),
            event_end: Box::default(),
            output: RefCell::default(),
            request,
            id,
        };
        let template = generation.event(Some(TOKEN_PLACEHOLDER.into()), None, None);
        // The content is the last text of an event, so the last occurrence is the token's placeholder.
        if let Some((start, end)) = template.rsplit_once(TOKEN_PLACEHOLDER) {
            generation.event_start = start.as_bytes().into();
            generation.event_end = end.as_bytes().into();
        }
        generation
    }

    /// Returns the words of all messages.
    pub(super) fn prompt_words(&self) -> impl Iterator<Item = &str> {
        self.request.messages.iter().flat_map(|message| message.content.split_whitespace())
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.output.borrow().is_cancelled
    }

    /// Makes `count` tokens, starting with token `first`, ready for the client.
    pub(super) fn push_tokens(&self, first: u32, count: u32) {
        let mut output = self.output.borrow_mut();
        for index in first..first + count {
            let token = self.text.token(index).as_bytes();
            if self.request.stream {
                output.ready.extend_from_slice(&self.event_start);
                output.ready.extend_from_slice(token);
                output.ready.extend_from_slice(&self.event_end);
            } else {
                output.ready.extend_from_slice(token);
            }
        }
        output.wake();
    }

    /// Completes the answer with its usage.
    pub(super) fn finish(&self, usage: Option<ChatUsage>) {
        let end = if self.request.stream {
            self.event(None, Some(self.finish_reason()), usage) + "data: [DONE]\n\n"
        } else {
            String::new()
        };
        let mut output = self.output.borrow_mut();
        output.ready.extend_from_slice(end.as_bytes());
        output.usage = usage;
        output.is_finished = true;
        output.wake();
    }

    fn finish_reason(&self) -> Box<str> {
        if self.is_length_limited { "length".into() } else { "stop".into() }
    }

    fn event(
        &self,
        content: Option<Box<str>>,
        finish_reason: Option<Box<str>>,
        usage: Option<ChatUsage>,
    ) -> String {
        let delta = Some(ChatDelta { content });
        let choice = ChatChoice { index: 0, delta, message: None, finish_reason };
        let answer = self.answer("chat.completion.chunk", choice, usage);
        // The document contains only text and numbers, so encoding it does not fail.
        let json = serde_json::to_string(&answer).unwrap_or_default();
        format!("data: {json}\n\n")
    }

    fn answer(&self, object: &str, choice: ChatChoice, usage: Option<ChatUsage>) -> ChatAnswer {
        ChatAnswer {
            id: self.id.clone(),
            object: object.into(),
            created: 0,
            model: self.request.model.clone(),
            usage,
            choices: vec![choice],
        }
    }
}

impl GenerationOutput {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The response body of a generation. Dropping it before the answer is complete cancels the generation.
#[derive(Debug)]
pub(super) struct GenerationBody(pub(super) Rc<Generation>);

impl GenerationBody {
    /// Waits for the complete answer to a request that is not streamed.
    pub(super) async fn collect(self) -> ChatAnswer {
        poll_fn(|context| self.poll_end(context)).await;
        let generation = &self.0;
        let output = generation.output.borrow();
        let content = String::from_utf8_lossy(&output.ready).into();
        let message = Some(ChatMessage { role: "assistant".into(), content });
        let finish_reason = Some(generation.finish_reason());
        let choice = ChatChoice { index: 0, delta: None, message, finish_reason };
        generation.answer("chat.completion", choice, output.usage)
    }

    fn poll_end(&self, context: &Context<'_>) -> Poll<()> {
        let mut output = self.0.output.borrow_mut();
        if output.is_finished {
            return Poll::Ready(());
        }
        output.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Body for GenerationBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let mut output = self.0.output.borrow_mut();
        if !output.ready.is_empty() {
            let ready = output.ready.split().freeze();
            return Poll::Ready(Some(Ok(Frame::data(ready))));
        }
        if output.is_finished {
            return Poll::Ready(None);
        }
        output.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Drop for GenerationBody {
    fn drop(&mut self) {
        let mut output = self.0.output.borrow_mut();
        output.is_cancelled = !output.is_finished;
    }
}
